package serve

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"
)

const (
	readHeaderTimeout = 10 * time.Second
	// bodyReadTimeout bounds reading a request body: 8 MiB at 2.2 Mbit/s.
	bodyReadTimeout = 30 * time.Second
	// writeTimeout closes a connection whose other side no longer reads.
	writeTimeout = 30 * time.Second
	idleTimeout  = 2 * time.Minute
	// pingInterval and pingTimeout detect broken HTTP/2 connections.
	pingInterval = 10 * time.Second
	pingTimeout  = 5 * time.Second
	// maxConcurrentStreams is the limit of concurrent requests on one HTTP/2 connection.
	maxConcurrentStreams = 256
)

// Config configures a server.
type Config struct {
	Handler http.Handler
	// MaxHeaderBytes limits the request header; 0 means the default of net/http.
	MaxHeaderBytes int64
	// MaxBodyBytes limits the request body; 0 means no limit.
	MaxBodyBytes int64
	// Logger reports connection errors; nil discards them.
	Logger hclog.Logger
}

// New returns a server for HTTP/1.1 and HTTP/2, with or without TLS. A response may take any time as long as the other
// side reads it: ReadTimeout and WriteTimeout of http.Server would cut off responses that stream for minutes.
func New(config Config) *http.Server {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           withLimits(config.Handler, config.MaxBodyBytes),
		MaxHeaderBytes:    int(config.MaxHeaderBytes),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		Protocols:         protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxConcurrentStreams,
			SendPingTimeout:      pingInterval,
			PingTimeout:          pingTimeout,
			WriteByteTimeout:     writeTimeout,
		},
		ErrorLog: config.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// LimitListener limits the number of open connections. Further ones wait until one is closed; the timeouts of the server
// close connections that are not used.
func LimitListener(listener net.Listener, maxConnections int) net.Listener {
	return netutil.LimitListener(listener, maxConnections)
}

func withLimits(handler http.Handler, maxBodyBytes int64) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		controller := http.NewResponseController(writer)
		if request.ProtoMajor == 1 {
			// HTTP/2 uses WriteByteTimeout instead: a write deadline would end a stream that only pauses.
			writer = &deadlineWriter{ResponseWriter: writer, controller: controller}
		}
		if request.Body != nil && request.Body != http.NoBody {
			if maxBodyBytes > 0 {
				request.Body = http.MaxBytesReader(writer, request.Body, maxBodyBytes)
			}
			if err := controller.SetReadDeadline(time.Now().Add(bodyReadTimeout)); err == nil {
				request.Body = &deadlineBody{ReadCloser: request.Body, controller: controller}
			}
		}
		handler.ServeHTTP(writer, request)
	})
}

// deadlineBody removes the read deadline at the end of the body. After that, net/http reads from the connection only to
// detect that it was closed, and an expired deadline would cancel the request.
type deadlineBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read implements io.Reader.
func (body *deadlineBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		if err := body.controller.SetReadDeadline(time.Time{}); err != nil {
			return count, errors.Wrap(err, "remove read deadline")
		}
	}
	return count, err
}

// deadlineWriter renews the write deadline before each write.
type deadlineWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
}

// Write implements io.Writer.
func (writer *deadlineWriter) Write(part []byte) (int, error) {
	if err := writer.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.Wrap(err, "set write deadline")
	}
	return writer.ResponseWriter.Write(part)
}

// Flush implements http.Flusher.
func (writer *deadlineWriter) Flush() {
	// A connection error is reported by the next Write.
	_ = writer.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = writer.controller.Flush()
}

// Unwrap lets http.ResponseController reach the underlying writer.
func (writer *deadlineWriter) Unwrap() http.ResponseWriter {
	return writer.ResponseWriter
}

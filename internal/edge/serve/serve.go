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
	headerTimeout = 10 * time.Second
	// bodyTimeout is the time for a whole request body: 8 MiB at 2.2 Mbit/s.
	bodyTimeout = 30 * time.Second
	// writeTimeout ends a connection whose other side no longer reads.
	writeTimeout = 30 * time.Second
	idleTimeout  = 2 * time.Minute
	// pingInterval and pingTimeout find connections that went silent.
	pingInterval = 10 * time.Second
	pingTimeout  = 5 * time.Second
	// streams is the largest number of requests at once on one HTTP/2 connection.
	streams = 256
)

// Config configures a server.
type Config struct {
	Handler http.Handler
	// MaxHeaderBytes is the largest header; 0 takes the default of net/http.
	MaxHeaderBytes int64
	// MaxBodyBytes is the largest request body; 0 sets no limit.
	MaxBodyBytes int64
	// Logger reports failed connections; nil writes nothing.
	Logger hclog.Logger
}

// New returns a server for HTTP/1.1 and HTTP/2, also without TLS. An answer may take any time as long as the other side
// reads it: http.Server's own ReadTimeout and WriteTimeout would cut off answers that stream for minutes.
func New(config Config) *http.Server {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           limit(config.Handler, config.MaxBodyBytes),
		MaxHeaderBytes:    int(config.MaxHeaderBytes),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		Protocols:         protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: streams,
			SendPingTimeout:      pingInterval,
			PingTimeout:          pingTimeout,
			WriteByteTimeout:     writeTimeout,
		},
		ErrorLog: config.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// LimitListener returns a listener that holds at most this many open connections. Further ones wait until one is closed, which
// the time limits of the server ensure for connections that do nothing.
func LimitListener(listener net.Listener, connections int) net.Listener {
	return netutil.LimitListener(listener, connections)
}

func limit(handler http.Handler, requestBytes int64) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		controller := http.NewResponseController(writer)
		if request.ProtoMajor == 1 {
			// HTTP/2 has WriteByteTimeout; a write deadline there would end a stream that is only quiet.
			writer = &timedWriter{ResponseWriter: writer, controller: controller}
		}
		if request.Body != nil && request.Body != http.NoBody {
			if requestBytes > 0 {
				request.Body = http.MaxBytesReader(writer, request.Body, requestBytes)
			}
			if err := controller.SetReadDeadline(time.Now().Add(bodyTimeout)); err == nil {
				request.Body = &timedBody{ReadCloser: request.Body, controller: controller}
			}
		}
		handler.ServeHTTP(writer, request)
	})
}

// timedBody removes the read deadline at the end of the body. After that, net/http reads from the connection only to
// notice that it was closed, and a deadline would cancel the request.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read reads from the body.
func (body *timedBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		if err := body.controller.SetReadDeadline(time.Time{}); err != nil {
			return count, errors.Wrap(err, "remove read deadline")
		}
	}
	return count, err
}

// timedWriter gives each write the full time.
type timedWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
}

// Write writes a part of the answer.
func (writer *timedWriter) Write(part []byte) (int, error) {
	if err := writer.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.Wrap(err, "set write deadline")
	}
	return writer.ResponseWriter.Write(part)
}

// Flush implements http.Flusher.
func (writer *timedWriter) Flush() {
	// An error of the connection is reported by the next Write.
	_ = writer.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = writer.controller.Flush()
}

// Unwrap lets http.ResponseController reach the original writer.
func (writer *timedWriter) Unwrap() http.ResponseWriter {
	return writer.ResponseWriter
}

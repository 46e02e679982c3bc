package infer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/answer"
	"github.com/clementinewind/clementinewind/internal/route/send"
)

const (
	defaultIdleTimeout = 10 * time.Second
	defaultMaxEvent    = 64 << 10
	// maxReport limits the size of a load report.
	maxReport = 1 << 20
)

// errIdle is the cause of a stream that was cut off because it was silent.
var errIdle = errors.New("stream was silent for longer than the idle timeout")

// Config is the configuration of a Client.
type Config struct {
	// Dial opens connections; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IdleTimeout limits the time without a new token from the engine; 0 means 10 s.
	IdleTimeout time.Duration
	// MaxEvent limits the size of an event in bytes; 0 means 64 KiB.
	MaxEvent int
	// WindowTokens and WindowBytes limit what is held until missing tokens arrive; 0 takes the defaults of answer.ReorderBuffer.
	WindowTokens int
	WindowBytes  int
}

// Client sends requests to model engines.
type Client struct {
	config    Config
	transport *send.Transport
}

// New returns a Client.
func New(config Config) *Client {
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = defaultIdleTimeout
	}
	if config.MaxEvent <= 0 {
		config.MaxEvent = defaultMaxEvent
	}
	return &Client{config: config, transport: send.New(send.Config{Dial: config.Dial})}
}

// Close closes the idle connections. Open streams are not affected.
func (client *Client) Close() {
	client.transport.CloseIdleConnections()
}

// Target names a request at an engine.
type Target struct {
	// Address is the host and port of the engine.
	Address      string
	RequestID    clementinewind.RequestID
	Organisation clementinewind.Organisation
	FencingToken clementinewind.Offset
}

// Request is a request for an answer.
type Request struct {
	Target
	Model     string
	Prompt    string
	MaxTokens int
	// Dispatch is the dispatch step; see send.Options.
	Dispatch func() error
}

// Generate starts an answer and returns its stream when the engine has accepted the request. Errors are *send.Error.
func (client *Client) Generate(ctx context.Context, request Request) (*Stream, error) {
	body, err := json.Marshal(completionRequest{
		Model: request.Model, Prompt: request.Prompt, MaxTokens: request.MaxTokens, Stream: true,
		StreamOptions: streamOptions{IncludeUsage: true},
	})
	if err != nil {
		return nil, invalid(err)
	}
	return client.open(ctx, request.Target, requestSpec{
		method: http.MethodPost, path: "/v1/completions", body: body, options: send.Options{Dispatch: request.Dispatch},
	})
}

// Resume continues an answer from a position, over a new connection. Because the request was sent before, its errors
// never carry a progress that means "not run"; they wrap answer.ErrNotResumable if the engine no longer has the answer.
func (client *Client) Resume(ctx context.Context, target Target, position int64) (*Stream, error) {
	path := completionPath(target) + "?position=" + strconv.FormatInt(position, 10)
	stream, err := client.open(ctx, target, requestSpec{
		method: http.MethodGet, path: path, position: position, options: send.Options{Fresh: true},
	})
	if err != nil {
		return nil, send.Fail(clementinewind.ProgressDispatched, err)
	}
	return stream, nil
}

// Cancel ends an answer and frees its place in the engine's batch. An answer that the engine does not have is no error.
func (client *Client) Cancel(ctx context.Context, target Target) error {
	ctx, cancel := context.WithTimeout(ctx, client.config.IdleTimeout)
	defer cancel()
	request, err := newRequest(ctx, target, requestSpec{method: http.MethodDelete, path: completionPath(target)})
	if err != nil {
		return invalid(err)
	}
	response, err := client.transport.Do(request, send.Options{Fresh: true})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest && response.StatusCode != http.StatusNotFound {
		return statusError(response)
	}
	return nil
}

// Load returns the load report of an engine with the cache events after a sequence number.
func (client *Client) Load(ctx context.Context, address string, after int64) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, client.config.IdleTimeout)
	defer cancel()
	var load Load
	target := Target{Address: address}
	path := "/load?after=" + strconv.FormatInt(after, 10)
	request, err := newRequest(ctx, target, requestSpec{method: http.MethodGet, path: path})
	if err != nil {
		return load, invalid(err)
	}
	response, err := client.transport.Do(request, send.Options{})
	if err != nil {
		return load, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return load, statusError(response)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReport)).Decode(&load); err != nil {
		return load, send.Fail(clementinewind.ProgressDispatched, errors.Wrap(err, "load report"))
	}
	return load, nil
}

// requestSpec describes an HTTP request to an engine. position is the first token that it asks for.
type requestSpec struct {
	method, path string
	body         []byte
	position     int64
	options      send.Options
}

// open sends a request for a stream. The idle timeout also covers the wait for the response headers.
func (client *Client) open(ctx context.Context, target Target, spec requestSpec) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	request, err := newRequest(ctx, target, spec)
	if err != nil {
		cancel(nil)
		return nil, invalid(err)
	}
	idle := time.AfterFunc(client.config.IdleTimeout, func() { cancel(errIdle) })
	response, err := client.transport.Do(request, spec.options)
	idle.Stop()
	if err != nil {
		defer cancel(nil)
		return nil, client.withCause(ctx, err)
	}
	if response.StatusCode != http.StatusOK {
		defer cancel(nil)
		return nil, statusError(response)
	}
	return newStream(ctx, cancel, response, streamConfig{
		client: client, requestID: target.RequestID, position: spec.position, idle: idle,
	}), nil
}

// withCause replaces an error that the idle timeout or the end of ctx led to by that cause. After an idle timeout it also
// closes the idle connections: they may be silent for the same reason, and each would cost a further idle timeout.
func (client *Client) withCause(ctx context.Context, err error) error {
	switch {
	case context.Cause(ctx) == errIdle:
		client.transport.CloseIdleConnections()
		return send.Fail(send.ProgressOf(err), errIdle)
	case ctx.Err() != nil:
		return send.Fail(send.ProgressOf(err), ctx.Err())
	default:
		return err
	}
}

func newRequest(ctx context.Context, target Target, spec requestSpec) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, spec.method, "http://"+target.Address+spec.path, nil)
	if err != nil {
		return nil, err
	}
	if spec.body != nil {
		request.ContentLength = int64(len(spec.body))
		request.Body = io.NopCloser(bytes.NewReader(spec.body))
		// net/http may rewind the body to use another connection. send.Transport prevents that after the first write.
		request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(spec.body)), nil }
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set(send.HeaderRequestID, target.RequestID.String())
	request.Header.Set(send.HeaderPosition, strconv.FormatInt(spec.position, 10))
	request.Header.Set(send.HeaderFencingToken, strconv.FormatInt(int64(target.FencingToken), 10))
	request.Header.Set(send.HeaderOrganisation, string(target.Organisation))
	return request, nil
}

func completionPath(target Target) string {
	return "/v1/completions/" + url.PathEscape(target.RequestID.String())
}

func invalid(err error) error {
	return &send.Error{Progress: clementinewind.ProgressQueued, Reason: clementinewind.ReasonInvalid, Err: err}
}

// statusError closes a response with an unexpected status and returns its error. Its progress is ProgressDispatched, as
// the status does not prove that the request has not run.
func statusError(response *http.Response) error {
	defer response.Body.Close()
	err := errors.Errorf("unexpected status %d", response.StatusCode)
	if response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusGone {
		err = errors.Wrapf(answer.ErrNotResumable, "status %d", response.StatusCode)
	}
	return &send.Error{
		Progress:   clementinewind.ProgressDispatched,
		Reason:     clementinewind.ReasonUpstreamFailed,
		RetryAfter: send.RetryAfter(response.Header),
		Err:        err,
	}
}

package call

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/answer"
	"github.com/clementinewind/clementinewind/internal/route/send"
)

const (
	defaultMaxResponse = 1 << 20
	defaultTimeout     = 30 * time.Second
)

// errTooLarge is returned for a response above the size limit.
var errTooLarge = errors.New("response exceeds the size limit")

// Config is the configuration of a Client.
type Config struct {
	// Dial opens connections; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxResponse limits the size of a response body in bytes; 0 means 1 MiB.
	MaxResponse int64
	// Timeout limits a call whose context has a later deadline or none; 0 means 30 s.
	Timeout time.Duration
}

// Client sends calls to plain services.
type Client struct {
	config    Config
	transport *send.Transport
}

// New returns a Client.
func New(config Config) *Client {
	if config.MaxResponse <= 0 {
		config.MaxResponse = defaultMaxResponse
	}
	if config.Timeout <= 0 {
		config.Timeout = defaultTimeout
	}
	return &Client{config: config, transport: send.New(send.Config{Dial: config.Dial})}
}

// Close closes the idle connections. Calls in progress are not affected.
func (client *Client) Close() {
	client.transport.CloseIdleConnections()
}

// Request is a call to a plain service.
type Request struct {
	// Address is the host and port of the service.
	Address      string
	RequestID    clementinewind.RequestID
	Organisation clementinewind.Organisation
	FencingToken clementinewind.Offset
	Path         string
	Body         []byte
	// Repeatable says that the call may run more than once. A call that may not is sent over a new connection: an idle
	// one can have gone silent or been closed, and the outcome would then be unknown.
	Repeatable bool
	// Dispatch is the dispatch step; see send.Options.
	Dispatch func() error
}

// Response is the complete answer of a service, whatever its status.
type Response struct {
	Status int
	Body   []byte
}

// Call sends a call once and returns the complete response. Errors are *send.Error.
func (client *Client) Call(ctx context.Context, request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, client.config.Timeout)
	defer cancel()
	sent, err := newRequest(ctx, request)
	if err != nil {
		return Response{}, &send.Error{Progress: clementinewind.ProgressQueued, Reason: clementinewind.ReasonInvalid, Err: err}
	}
	response, err := client.transport.Do(sent, send.Options{Dispatch: request.Dispatch, Fresh: !request.Repeatable})
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	body, err := client.read(response, request.RequestID)
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return Response{}, send.Fail(clementinewind.ProgressDispatched, err)
	}
	return Response{Status: response.StatusCode, Body: body}, nil
}

// read returns the whole body or an error.
func (client *Client) read(response *http.Response, requestID clementinewind.RequestID) ([]byte, error) {
	if echoed := response.Header.Get(send.HeaderRequestID); echoed != "" && echoed != requestID.String() {
		return nil, errors.Errorf("response belongs to request %q", echoed)
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		// The end of the connection marks the end of such a body, so one that was cut off looks complete.
		return nil, errors.Wrap(answer.ErrIncomplete, "response has neither a length nor chunks")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, client.config.MaxResponse+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > client.config.MaxResponse {
		return nil, &clementinewind.Refusal{Reason: clementinewind.ReasonUpstreamFailed, Detail: errTooLarge.Error()}
	}
	return body, nil
}

func newRequest(ctx context.Context, request Request) (*http.Request, error) {
	if !strings.HasPrefix(request.Path, "/") {
		return nil, errors.Errorf("path %q does not start with a slash", request.Path)
	}
	// A bytes.Reader lets the transport rewind the body; send.Transport prevents that after the first write. The key of
	// the caller must not go into a header named Idempotency-Key, which makes net/http send again after a failure.
	created, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+request.Address+request.Path,
		bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	created.Header.Set("Content-Type", "application/json")
	created.Header.Set(send.HeaderRequestID, request.RequestID.String())
	created.Header.Set(send.HeaderFencingToken, strconv.FormatInt(int64(request.FencingToken), 10))
	created.Header.Set(send.HeaderOrganisation, string(request.Organisation))
	return created, nil
}

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
	"github.com/clementinewind/clementinewind/internal/share/reply"
)

const (
	defaultMaxResponseBytes = 1 << 20
	defaultTimeout          = 30 * time.Second
)

// errTooLarge is the detail of the refusal of a response body above Config.MaxResponse.
var errTooLarge = errors.New("response exceeds the size limit")

// Config is the configuration of a Client.
type Config struct {
	// Dial opens connections; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxResponse limits the size of a response body in bytes; 0 means 1 MiB.
	MaxResponse int64
	// Timeout limits the duration of a call; an earlier deadline of its context takes precedence. 0 means 30 s.
	Timeout time.Duration
}

// Client makes calls to plain services.
type Client struct {
	config    Config
	transport *send.Transport
}

// New returns a Client.
func New(config Config) *Client {
	if config.MaxResponse <= 0 {
		config.MaxResponse = defaultMaxResponseBytes
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
	// Repeatable says that the call may run more than once. A call that is not repeatable is sent over a new connection:
	// an idle connection may be dead or closed by the service, and the outcome would then be unknown.
	Repeatable bool
	// Dispatch is the dispatch step; see send.Options.
	Dispatch func() error
}

// Response is a complete response of a service, with any status.
type Response struct {
	Status int
	Body   []byte
}

// Call sends the request at most once and returns the complete response. Errors are *send.Error.
func (client *Client) Call(ctx context.Context, request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, client.config.Timeout)
	defer cancel()
	httpRequest, err := newRequest(ctx, request)
	if err != nil {
		return Response{}, &send.Error{Progress: clementinewind.ProgressQueued, Reason: clementinewind.ReasonInvalid, Err: err}
	}
	response, err := client.transport.Do(httpRequest, send.Options{Dispatch: request.Dispatch, Fresh: !request.Repeatable})
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

// read returns the complete body of a response. It rejects a response to another request, one whose end cannot be
// recognised, and one above the size limit.
func (client *Client) read(response *http.Response, requestID clementinewind.RequestID) ([]byte, error) {
	if echoed := response.Header.Get(send.HeaderRequestID); echoed != "" && echoed != requestID.String() {
		return nil, errors.Errorf("response belongs to request %q", echoed)
	}
	if reply.EndsWithConnection(response) {
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
	// net/http can rewind a bytes.Reader and send the body again; send.Transport prevents that after the first write.
	// The caller's idempotency key must not be sent as an Idempotency-Key header, which makes net/http retry after a failure.
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+request.Address+request.Path,
		bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpRequest.Header.Set(send.HeaderRequestID, request.RequestID.String())
	httpRequest.Header.Set(send.HeaderFencingToken, strconv.FormatInt(int64(request.FencingToken), 10))
	httpRequest.Header.Set(send.HeaderOrganisation, string(request.Organisation))
	return httpRequest, nil
}

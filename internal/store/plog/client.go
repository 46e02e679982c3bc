package plog

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/platformv1"
	"github.com/clementinewind/clementinewind/internal/wire/platformv1/platformv1connect"
)

const (
	// defaultCallTimeout bounds one call, without the time that a read waits at the tail.
	defaultCallTimeout = 2 * time.Second
	// maxMessageBytes bounds a response, so that a faulty log cannot exhaust the memory of a router.
	maxMessageBytes = 64 << 20
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// HTTPClient sends the calls. Its transport contains the dialer.
	HTTPClient connect.HTTPClient
	// URL is the base URL of the platform.
	URL string
	// CallTimeout bounds one call, in addition to LogQuery.Wait; 0 selects 2 s.
	CallTimeout time.Duration
}

// Client is a clementinewind.Log that calls the platform's LogService.
type Client struct {
	service platformv1connect.LogServiceClient
	timeout time.Duration
}

var _ clementinewind.Log = (*Client)(nil)

// NewClient returns a client of the LogService at config.URL.
func NewClient(config ClientConfig) *Client {
	if config.CallTimeout <= 0 {
		config.CallTimeout = defaultCallTimeout
	}
	return &Client{
		service: platformv1connect.NewLogServiceClient(config.HTTPClient, config.URL,
			connect.WithReadMaxBytes(maxMessageBytes),
			// Responses to polls are a few bytes, and compressing them would take more processor time than the rest of
			// the call.
			connect.WithAcceptCompression("gzip", nil, nil)),
		timeout: config.CallTimeout,
	}
}

// Append appends records to a stream, all or none, and returns the offset of the first one.
func (client *Client) Append(ctx context.Context, stream string, records []clementinewind.Record) (clementinewind.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, client.timeout)
	defer cancel()
	request := &platformv1.AppendRequest{Stream: stream, Records: make([]*platformv1.Record, len(records))}
	for i, record := range records {
		request.Records[i] = &platformv1.Record{Writer: record.Writer, Sequence: record.Sequence, Payload: record.Payload}
	}
	response, err := client.service.Append(ctx, connect.NewRequest(request))
	if err != nil {
		return 0, callError(err)
	}
	return clementinewind.Offset(response.Msg.FirstOffset), nil
}

// Read returns the records at and above an offset. At the tail it waits up to query.Wait for new records.
func (client *Client) Read(ctx context.Context, query clementinewind.LogQuery) (clementinewind.LogBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, client.timeout+query.Wait)
	defer cancel()
	response, err := client.service.Read(ctx, connect.NewRequest(&platformv1.ReadRequest{
		Stream:     query.Stream,
		From:       int64(query.From),
		MaxRecords: int32(query.Limit),
		WaitMillis: query.Wait.Milliseconds(),
	}))
	if err != nil {
		return clementinewind.LogBatch{}, callError(err)
	}
	batch := clementinewind.LogBatch{
		First:  clementinewind.Offset(response.Msg.FirstOffset),
		Tail:   clementinewind.Offset(response.Msg.Tail),
		Oldest: clementinewind.Offset(response.Msg.Oldest),
	}
	if len(response.Msg.Records) > 0 {
		batch.Records = make([]clementinewind.Record, len(response.Msg.Records))
	}
	for i, record := range response.Msg.Records {
		batch.Records[i] = clementinewind.Record{
			Writer:   record.Writer,
			Sequence: record.Sequence,
			Payload:  record.Payload,
			Time:     time.UnixMilli(record.TimeMillis),
		}
	}
	return batch, nil
}

// callError classifies a failed call. The platform reports a truncated offset as OutOfRange.
func callError(err error) error {
	if connect.CodeOf(err) == connect.CodeOutOfRange {
		return &CallError{Kind: clementinewind.ErrTruncated, Cause: err}
	}
	return &CallError{Kind: clementinewind.ErrLogUnavailable, Cause: err}
}

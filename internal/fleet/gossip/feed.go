package gossip

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind/internal/share/bound"
	"github.com/clementinewind/clementinewind/internal/share/reply"
	"github.com/clementinewind/clementinewind/internal/store/feed"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
)

const (
	feedPath = "/feed"
	// headerTopic, headerFrom and headerEra repeat parameters of the request, so that the client notices a response to another request.
	headerTopic = "Topic"
	headerFrom  = "From"
	headerEra   = "Era"
	// feedTimeoutMargin is how much longer than the requested wait a feed request may take.
	feedTimeoutMargin = 400 * time.Millisecond
	// maxFeedWait limits how long a feed request may wait for new records.
	maxFeedWait = 5 * time.Second
	// maxFeedBytes limits a feed response. It is more than the configuration and the entries of thousands of upstreams take.
	maxFeedBytes = 16 << 20
	// maxFeedHeaderBytes limits the header of a feed response. It is more than any router sends.
	maxFeedHeaderBytes = 64 << 10
)

// FeedHandler serves the records that this router has read from the platform's store; mirrors holds them by topic.
func FeedHandler(mirrors map[string]*feed.Mirror, logger hclog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+feedPath, func(writer http.ResponseWriter, request *http.Request) {
		query := request.URL.Query()
		mirror, ok := mirrors[query.Get("Topic")]
		if !ok {
			http.Error(writer, "unknown topic", http.StatusNotFound)
			return
		}
		from, err := parsePosition(query)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		wait, err := time.ParseDuration(query.Get("Wait"))
		if err != nil {
			http.Error(writer, "Wait: want a duration", http.StatusBadRequest)
			return
		}
		batch, err := waitForRecords(request.Context(), mirror, from, min(wait, maxFeedWait))
		switch {
		case errors.Is(err, feed.ErrTruncated):
			http.Error(writer, err.Error(), http.StatusGone)
			return
		case err != nil:
			http.Error(writer, err.Error(), http.StatusServiceUnavailable)
			return
		}
		content, err := proto.Marshal(encodeBatch(batch))
		if err != nil {
			http.Error(writer, "batch not encoded", http.StatusInternalServerError)
			return
		}
		writer.Header().Set(headerTopic, query.Get("Topic"))
		writer.Header().Set(headerFrom, query.Get("From"))
		writer.Header().Set(headerEra, query.Get("Era"))
		writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
		if _, err := writer.Write(content); err != nil {
			logger.Debug("failed to send feed response", "Error", err)
		}
	})
	return mux
}

// parsePosition returns the position from which a request reads. Builds that do not know eras name none and read the first one.
func parsePosition(query url.Values) (feed.Position, error) {
	offset, err := strconv.ParseInt(query.Get("From"), 10, 64)
	if err != nil {
		return 0, errors.New("From: want an offset")
	}
	if offset < 0 {
		return feed.FullRead, nil
	}
	era := int64(0)
	if text := query.Get("Era"); text != "" {
		if era, err = strconv.ParseInt(text, 10, 64); err != nil || era < 0 || era > feed.MaxEra {
			return 0, errors.New("Era: want the number of an era")
		}
	}
	return feed.NewPosition(era, offset), nil
}

// errNotLoaded is returned for a topic that this router has not read yet.
var errNotLoaded = errors.New("topic not read yet")

// waitForRecords returns the records from a position on, as soon as there is one, and an empty batch if there is none within wait.
// It returns errNotLoaded if the topic is not loaded by then, feed.ErrTruncated if the mirror does not know all changes from the position on, and
// feed.ErrEarlierEra if it does not know the era.
func waitForRecords(ctx context.Context, mirror *feed.Mirror, from feed.Position, wait time.Duration) (feed.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		changed := mirror.Changed()
		batch, err := feed.Batch{}, errNotLoaded
		if _, loaded := mirror.Next(); loaded {
			if batch, err = mirror.Since(from); err != nil || len(batch.Records) > 0 {
				return batch, err
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return batch, err
		}
	}
}

func encodeBatch(batch feed.Batch) *fleetv1.FeedBatch {
	encoded := &fleetv1.FeedBatch{Next: batch.Next.Offset(), Era: batch.Next.Era(), WrittenFrom: batch.WrittenFrom.Offset()}
	for _, record := range batch.Records {
		encoded.Records = append(encoded.Records, &fleetv1.FeedRecord{
			Key: record.Key, Value: record.Value, Offset: record.Position.Offset(), Era: record.Position.Era(),
		})
	}
	return encoded
}

// NewFeedClient returns a client for a Source that connects with dial. The Source sets the timeout of each request.
func NewFeedClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	return &http.Client{Transport: reply.NewTransport(&http.Transport{
		DialContext: dial, MaxResponseHeaderBytes: maxFeedHeaderBytes, DisableCompression: true,
	})}
}

// Source reads topics from the FeedHandler of another router.
type Source struct {
	Address string
	Client  *http.Client
}

// Newest implements feed.Source.
func (source Source) Newest(ctx context.Context, topic string) (feed.Batch, error) {
	return source.Read(ctx, topic, feed.FullRead, 0)
}

// Read implements feed.Source.
func (source Source) Read(ctx context.Context, topic string, from feed.Position, wait time.Duration) (feed.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+feedTimeoutMargin)
	defer cancel()
	offset, era := encodePosition(from)
	query := url.Values{
		"Topic": {topic}, "From": {strconv.FormatInt(offset, 10)}, "Era": {strconv.FormatInt(era, 10)}, "Wait": {wait.String()},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source.Address+feedPath+"?"+query.Encode(), nil)
	if err != nil {
		return feed.Batch{}, errors.Wrap(err, "build feed request")
	}
	response, err := source.Client.Do(request)
	if err != nil {
		return feed.Batch{}, errors.Wrap(err, "send feed request")
	}
	defer response.Body.Close()
	content, err := bound.ReadAll(response.Body, maxFeedBytes)
	if err != nil {
		return feed.Batch{}, errors.Wrap(err, "read feed response")
	}
	if response.StatusCode == http.StatusGone {
		return feed.Batch{}, feed.ErrTruncated
	}
	if response.StatusCode != http.StatusOK {
		return feed.Batch{}, errors.Errorf("peer responded with status %d to a read of topic %s", response.StatusCode, topic)
	}
	if header := response.Header; header.Get(headerTopic) != topic || header.Get(headerFrom) != query.Get("From") ||
		cmp.Or(header.Get(headerEra), "0") != query.Get("Era") {
		// A delayed duplicate of an earlier response on a reused connection. Each later response on it would be off by one too.
		source.Client.CloseIdleConnections()
		return feed.Batch{}, errors.Errorf("feed response is for topic %q from offset %q of era %q, want topic %q from offset %v",
			header.Get(headerTopic), header.Get(headerFrom), header.Get(headerEra), topic, from)
	}
	if reply.EndsWithConnection(response) {
		// No router sends such a response, and records may be missing from its end.
		return feed.Batch{}, errors.New("feed response has neither a length nor chunks")
	}
	var encoded fleetv1.FeedBatch
	if err := proto.Unmarshal(content, &encoded); err != nil {
		return feed.Batch{}, errors.Wrap(err, "decode feed response")
	}
	next := decodePosition(encoded.Next, encoded.Era)
	if next.Era() < era {
		return feed.Batch{}, feed.ErrEarlierEra
	}
	batch := feed.Batch{Next: max(next, from), WrittenFrom: decodePosition(encoded.WrittenFrom, encoded.Era), Compacted: true}
	for _, record := range encoded.Records {
		batch.Records = append(batch.Records, feed.Record{Key: record.Key, Value: record.Value, Position: decodePosition(record.Offset, record.Era)})
	}
	return batch, nil
}

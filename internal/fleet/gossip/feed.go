package gossip

import (
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
	"github.com/clementinewind/clementinewind/internal/store/feed"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
)

const (
	feedPath = "/feed"
	// headerTopic and headerFrom tell which read an answer belongs to.
	headerTopic = "Topic"
	headerFrom  = "From"
	// feedSlack is the time for the answer of a router beyond the time that it waits for new records.
	feedSlack = 400 * time.Millisecond
	// maxWait bounds how long a router waits for new records for another one.
	maxWait = 5 * time.Second
	// maxFeedBytes is above the configuration and the entries of thousands of upstreams.
	maxFeedBytes = 16 << 20
	// maxFeedHeaderBytes is above any header of a router.
	maxFeedHeaderBytes = 64 << 10
)

// FeedHandler passes on what this router has read of the store's topics.
func FeedHandler(mirrors map[string]*feed.Mirror, logger hclog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+feedPath, func(writer http.ResponseWriter, request *http.Request) {
		query := request.URL.Query()
		mirror, ok := mirrors[query.Get("Topic")]
		if !ok {
			http.Error(writer, "unknown topic", http.StatusNotFound)
			return
		}
		from, err := strconv.ParseInt(query.Get("From"), 10, 64)
		if err != nil {
			http.Error(writer, "From: want an offset", http.StatusBadRequest)
			return
		}
		wait, err := time.ParseDuration(query.Get("Wait"))
		if err != nil {
			http.Error(writer, "Wait: want a duration", http.StatusBadRequest)
			return
		}
		batch, loaded := await(request.Context(), mirror, from, min(wait, maxWait))
		if !loaded {
			http.Error(writer, "topic not read yet", http.StatusServiceUnavailable)
			return
		}
		content, err := proto.Marshal(encodeBatch(batch))
		if err != nil {
			http.Error(writer, "batch not encoded", http.StatusInternalServerError)
			return
		}
		writer.Header().Set(headerTopic, query.Get("Topic"))
		writer.Header().Set(headerFrom, query.Get("From"))
		if _, err := writer.Write(content); err != nil {
			logger.Debug("feed not delivered", "Error", err)
		}
	})
	return mux
}

// await returns the records from an offset, after waiting for the topic to be read and for the first record. It is false if the topic
// is not read in time.
func await(ctx context.Context, mirror *feed.Mirror, from int64, wait time.Duration) (feed.Batch, bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		changed := mirror.Changed()
		var batch feed.Batch
		_, loaded := mirror.Next()
		if loaded {
			if batch = mirror.Since(from); len(batch.Records) > 0 {
				return batch, true
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return batch, loaded
		}
	}
}

func encodeBatch(batch feed.Batch) *fleetv1.FeedBatch {
	encoded := &fleetv1.FeedBatch{Next: batch.Next}
	for _, record := range batch.Records {
		encoded.Records = append(encoded.Records, &fleetv1.FeedRecord{Key: record.Key, Value: record.Value, Offset: record.Offset})
	}
	return encoded
}

// NewFeedClient returns a client for Sources that connects by dial. Its calls are bounded by the Source.
func NewFeedClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxResponseHeaderBytes: maxFeedHeaderBytes, DisableCompression: true,
	}}
}

// Source reads topics from another router.
type Source struct {
	Address string
	Client  *http.Client
}

// Newest implements feed.Source.
func (source Source) Newest(ctx context.Context, topic string) (feed.Batch, error) {
	return source.Read(ctx, topic, 0, 0)
}

// Read implements feed.Source.
func (source Source) Read(ctx context.Context, topic string, from int64, wait time.Duration) (feed.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+feedSlack)
	defer cancel()
	query := url.Values{"Topic": {topic}, "From": {strconv.FormatInt(from, 10)}, "Wait": {wait.String()}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source.Address+feedPath+"?"+query.Encode(), nil)
	if err != nil {
		return feed.Batch{}, errors.Wrap(err, "build feed request")
	}
	response, err := source.Client.Do(request)
	if err != nil {
		return feed.Batch{}, errors.Wrap(err, "read feed")
	}
	defer response.Body.Close()
	content, err := bound.ReadAll(response.Body, maxFeedBytes)
	if err != nil {
		return feed.Batch{}, errors.Wrap(err, "read feed")
	}
	if response.StatusCode != http.StatusOK {
		return feed.Batch{}, errors.Errorf("router answered %d to a read of %s", response.StatusCode, topic)
	}
	if answered := response.Header; answered.Get(headerTopic) != topic || answered.Get(headerFrom) != query.Get("From") {
		// A copy of an earlier answer on a connection in use again. What follows on the connection is late by one, too.
		source.Client.CloseIdleConnections()
		return feed.Batch{}, errors.Errorf("answer to a read of %q from %q, want %q from %d", answered.Get(headerTopic), answered.Get(headerFrom), topic, from)
	}
	var encoded fleetv1.FeedBatch
	if err := proto.Unmarshal(content, &encoded); err != nil {
		return feed.Batch{}, errors.Wrap(err, "decode feed")
	}
	batch := feed.Batch{Next: max(encoded.Next, from)}
	for _, record := range encoded.Records {
		batch.Records = append(batch.Records, feed.Record{Key: record.Key, Value: record.Value, Offset: record.Offset})
	}
	return batch, nil
}

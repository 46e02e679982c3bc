package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxNewestItems is the size of a page of the newest records.
const maxNewestItems = 500

// callTime is how long the store takes for a call.
const callTime = 4 * time.Millisecond

// store is a stand-in for the platform's store: keyed topics with one partition.
type store struct {
	mutex   sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	// onNewest, if set, is called before the newest records of a topic are read.
	onNewest func(topic string)
}

type record struct {
	key   string
	value []byte
}

func newStore() *store { return &store{topics: map[string][]record{}, changed: make(chan struct{})} }

// put appends a record and returns when it was acknowledged. An empty value deletes the key.
func (store *store) put(topic, key string, value []byte) time.Time {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.topics[topic] = append(store.topics[topic], record{key: key, value: value})
	close(store.changed)
	store.changed = make(chan struct{})
	return time.Now()
}

func (store *store) setOnNewest(hook func(topic string)) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.onNewest = hook
}

// ServeHTTP implements http.Handler.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	topic := request.URL.Query().Get("topic")
	time.Sleep(callTime)
	switch request.Method + " " + request.URL.Path {
	case "POST /api/log-append":
		store.append(writer, request, topic)
	case "GET /api/log-read":
		store.read(writer, request, topic)
	case "GET /api/log-newest":
		store.newest(writer, request, topic)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (store *store) append(writer http.ResponseWriter, request *http.Request, topic string) {
	if topic == topicOperator || topic == topicServers {
		writer.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil || len(body) < 5 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	// The routers append one record a call.
	content := body[4:]
	keyEnd := 1 + int(content[0])
	store.put(topic, string(content[1:keyEnd]), content[keyEnd:])
	store.mutex.Lock()
	end := len(store.topics[topic])
	store.mutex.Unlock()
	writeJSON(writer, map[string]int{"offset": end - 1, "end": end})
}

func (store *store) read(writer http.ResponseWriter, request *http.Request, topic string) {
	query := request.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	// Without a parameter the read does not wait.
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		store.mutex.Lock()
		records, changed := store.topics[topic], store.changed
		store.mutex.Unlock()
		if from < len(records) || wait == 0 {
			_, _ = writer.Write(encodeRecords(records, from))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-request.Context().Done():
			return
		}
	}
}

func encodeRecords(records []record, from int) []byte {
	content := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	content = binary.BigEndian.AppendUint64(content, 0)
	for _, record := range records[min(from, len(records)):] {
		content = binary.BigEndian.AppendUint32(content, uint32(1+len(record.key)+len(record.value)))
		content = append(content, byte(len(record.key)))
		content = append(content, record.key...)
		content = append(content, record.value...)
	}
	return content
}

type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func (store *store) newest(writer http.ResponseWriter, request *http.Request, topic string) {
	store.mutex.Lock()
	hook := store.onNewest
	store.mutex.Unlock()
	if hook != nil {
		hook(topic)
	}
	store.mutex.Lock()
	records := store.topics[topic]
	store.mutex.Unlock()
	newest := map[string]item{}
	for offset, record := range records {
		newest[record.key] = item{record.key, record.value, offset}
	}
	after, items := request.URL.Query().Get("after"), []item{}
	for key, item := range newest {
		if len(item.Value) > 0 && key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(items) > maxNewestItems
	writeJSON(writer, map[string]any{"items": items[:min(len(items), maxNewestItems)], "hasMore": hasMore, "end": len(records)})
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

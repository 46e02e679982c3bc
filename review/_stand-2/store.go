package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: keyed topics with one partition each, of which the history is kept.
type store struct {
	mutex   sync.Mutex
	topics  map[string][]keyedRecord
	changed chan struct{}
}

type keyedRecord struct {
	key   string
	value []byte
}

func newStore() *store {
	return &store{topics: map[string][]keyedRecord{}, changed: make(chan struct{})}
}

// put appends a record; a nil value removes the key. It returns when the record is in force, which is the acknowledgement.
func (store *store) put(topic, key string, value []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.putLocked(topic, key, value)
}

func (store *store) putLocked(topic, key string, value []byte) {
	store.topics[topic] = append(store.topics[topic], keyedRecord{key, value})
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) putJSON(topic, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.put(topic, key, content)
}

func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	topic := query.Get("topic")
	switch request.URL.Path {
	case "/api/log-append":
		store.serveAppend(writer, request, topic)
	case "/api/log-read":
		store.serveRead(writer, request, topic)
	case "/api/log-newest":
		store.serveNewest(writer, topic)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (store *store) serveAppend(writer http.ResponseWriter, request *http.Request, topic string) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	offset := len(store.topics[topic])
	if at := request.URL.Query().Get("at"); at != "" && at != strconv.Itoa(offset) {
		writer.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(writer).Encode(map[string]int{"end": offset})
		return
	}
	for len(body) > 4 {
		length := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+length]
		end := 1 + int(content[0])
		store.putLocked(topic, string(content[1:end]), slices.Clone(content[end:]))
		body = body[4+length:]
	}
	writeJSON(writer, map[string]int{"offset": offset, "end": len(store.topics[topic])})
}

func (store *store) serveRead(writer http.ResponseWriter, request *http.Request, topic string) {
	from, err := strconv.Atoi(request.URL.Query().Get("from"))
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	// Without a parameter the read does not wait.
	wait, _ := strconv.Atoi(request.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := wait == 0; ; {
		store.mutex.Lock()
		records, changed := store.topics[topic], store.changed
		store.mutex.Unlock()
		if from < len(records) || expired {
			content := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			content = binary.BigEndian.AppendUint64(content, 0)
			for _, record := range records[min(from, len(records)):] {
				content = binary.BigEndian.AppendUint32(content, uint32(1+len(record.key)+len(record.value)))
				content = append(append(append(content, byte(len(record.key))), record.key...), record.value...)
			}
			_, _ = writer.Write(content)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-request.Context().Done():
			return
		}
	}
}

func (store *store) serveNewest(writer http.ResponseWriter, topic string) {
	store.mutex.Lock()
	records := store.topics[topic]
	store.mutex.Unlock()
	newest := map[string]int{}
	for offset, record := range records {
		if newest[record.key] = offset; len(record.value) == 0 {
			delete(newest, record.key)
		}
	}
	items := []map[string]any{}
	for key, offset := range newest {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(records[offset].value), "offset": offset})
	}
	writeJSON(writer, map[string]any{"items": items, "hasMore": false, "end": len(records)})
}

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body)
}

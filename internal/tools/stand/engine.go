package stand

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/infer"
	"github.com/clementinewind/clementinewind/internal/route/send"
	"github.com/clementinewind/clementinewind/internal/share/pause"
)

const (
	defaultMaxTokens = 64
	defaultMaxBatch  = 16
	defaultColdBatch = 2
	defaultTokenTime = 20 * time.Millisecond
	// batchSlowdown is the share by which each further request in the batch lengthens the time of a token.
	batchSlowdown = 0.03
	// prefillTime is the time for one byte of the prompt that is not in the prefix cache.
	prefillTime       = 20 * time.Microsecond
	defaultCacheSize  = 4096
	defaultLoadTime   = 2 * time.Second
	defaultReportLag  = 500 * time.Millisecond
	defaultRetainTime = 30 * time.Second
	// leadTokens is how far a run may be ahead of its reader.
	leadTokens = 64
	maxPrompt  = 1 << 20
)

// EngineConfig is the configuration of an Engine. Zero values take defaults.
type EngineConfig struct {
	// MaxBatch is the number of requests that run together; more wait in the engine.
	MaxBatch int
	// ColdBatch is what a cold engine carries. It carries one more for each run that it ends, up to MaxBatch, and
	// collapses when it gets more.
	ColdBatch int
	// StartWarm makes a new engine carry MaxBatch at once.
	StartWarm bool
	// TokenTime is the time between tokens of a request that runs alone.
	TokenTime time.Duration
	// CacheBlocks is the size of the prefix cache; every LoseEveryNthEvent-th cache event is lost.
	CacheBlocks       int
	LoseEveryNthEvent int64
	// ReportLag is the age of load reports and cache events.
	ReportLag time.Duration
	// LoadTime is how long an order to load a model takes.
	LoadTime time.Duration
	// RetainTime is how long an ended run can be resumed.
	RetainTime time.Duration
	// ChecksFencing makes the engine refuse fencing tokens below the highest that it has seen.
	ChecksFencing bool
}

// Engine is a model engine. It is an http.Handler.
type Engine struct {
	ledger
	Faults

	config EngineConfig
	mux    *http.ServeMux

	mu       sync.Mutex
	bootID   string
	capacity int
	running  int
	waiting  []*run
	// unfinished holds the runs that have not ended, and runs those that can be resumed. A run that was sent twice is
	// only once in runs.
	unfinished map[*run]struct{}
	runs       map[string]*run
	cache      *prefixCache
	history    []loadSample
	fencing    clementinewind.Offset
	model      string
	role       string
	orders     []Order
	resets     int
}

// Order is an instruction to an engine.
type Order struct {
	// Model is the model to load, or empty.
	Model string
	// Role is the new role (prefill, decode or both), or empty.
	Role         string
	FencingToken clementinewind.Offset `json:"-"`
}

type loadSample struct {
	time             time.Time
	running, waiting int
	cached           int
}

// NewEngine returns an Engine.
func NewEngine(config EngineConfig) *Engine {
	setDefault(&config.MaxBatch, defaultMaxBatch)
	setDefault(&config.ColdBatch, min(defaultColdBatch, config.MaxBatch))
	setDefault(&config.TokenTime, defaultTokenTime)
	setDefault(&config.CacheBlocks, defaultCacheSize)
	setDefault(&config.ReportLag, defaultReportLag)
	setDefault(&config.LoadTime, defaultLoadTime)
	setDefault(&config.RetainTime, defaultRetainTime)
	engine := &Engine{
		config:   config,
		mux:      http.NewServeMux(),
		bootID:   rand.Text(),
		capacity: config.ColdBatch,
		runs:     map[string]*run{},

		unfinished: map[*run]struct{}{},
		cache:      newPrefixCache(config.CacheBlocks, config.LoseEveryNthEvent),
		fencing:    -1,
	}
	if config.StartWarm {
		engine.capacity = config.MaxBatch
	}
	engine.mux.HandleFunc("POST /v1/completions", engine.serveGenerate)
	engine.mux.HandleFunc("GET /v1/completions/{id}", engine.serveResume)
	engine.mux.HandleFunc("DELETE /v1/completions/{id}", engine.serveCancel)
	engine.mux.HandleFunc("GET /load", engine.serveLoad)
	engine.mux.HandleFunc("POST /orders", engine.serveOrder)
	engine.serveRecords(engine.mux)
	engine.mux.Handle("/faults", &engine.Faults)
	return engine
}

// ServeHTTP serves the completions API and the control endpoints.
func (engine *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	engine.mux.ServeHTTP(writer, request)
}

// Answer returns the tokens of the answer to a prompt: at least a quarter of maxTokens and at most maxTokens.
func Answer(prompt string, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	hash := xxhash.Sum64String(prompt)
	least := (maxTokens + 3) / 4
	count := least + int(hash%uint64(maxTokens-least+1))
	tokens := make([]string, count)
	for index := range tokens {
		tokens[index] = strconv.FormatUint((hash+uint64(index))%0xffff, 36) + " "
	}
	return tokens
}

// BootID returns the id that a restart or a collapse changes.
func (engine *Engine) BootID() string {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.bootID
}

// Resets returns how often the engine collapsed or restarted.
func (engine *Engine) Resets() int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.resets
}

// Running returns the number of runs in progress and of those that wait in the engine.
func (engine *Engine) Running() (running, waiting int) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.running, len(engine.waiting)
}

// Orders returns the orders that took effect.
func (engine *Engine) Orders() []Order {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return append([]Order(nil), engine.orders...)
}

// TurnCold makes the engine cold without warning: a new boot id, an empty prefix cache and little capacity. Runs go on.
func (engine *Engine) TurnCold() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.turnCold()
}

// Restart turns the engine cold, resets its connections and forgets its runs.
func (engine *Engine) Restart() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.restart()
}

func (engine *Engine) turnCold() {
	engine.bootID = rand.Text()
	engine.capacity = engine.config.ColdBatch
	engine.cache.clear()
}

func (engine *Engine) restart() {
	engine.turnCold()
	engine.resets++
	engine.waiting = nil
	for run := range engine.unfinished {
		engine.end(run, stopReset)
	}
	clear(engine.runs)
}

// sample keeps the load for reports that lag behind.
func (engine *Engine) sample() {
	now := time.Now()
	current := loadSample{time: now, running: engine.running, waiting: len(engine.waiting), cached: engine.cache.recent.Len()}
	for len(engine.history) > 1 && now.Sub(engine.history[1].time) >= engine.config.ReportLag {
		engine.history = engine.history[1:]
	}
	engine.history = append(engine.history, current)
}

// fenced reports whether a request must be refused because its fencing token is old.
func (engine *Engine) fenced(token clementinewind.Offset) bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	old := token < engine.fencing
	engine.fencing = max(engine.fencing, token)
	return old && engine.config.ChecksFencing
}

func (engine *Engine) serveGenerate(writer http.ResponseWriter, request *http.Request) {
	received := engine.receive(request)
	faults := engine.take()
	if faults.has(FaultResetEarly) {
		reset(writer)
		return
	}
	if faults.has(FaultRefuse) {
		refuse(writer, http.StatusServiceUnavailable, "no capacity")
		return
	}
	if engine.fenced(received.FencingToken) {
		refuse(writer, http.StatusConflict, "fencing token is old")
		return
	}
	var body struct {
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
		Options   struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxPrompt)).Decode(&body); err != nil {
		refuse(writer, http.StatusBadRequest, err.Error())
		return
	}
	if received.RequestID == "" {
		received.RequestID = clementinewind.NewRequestID().String()
	}
	if faults.has(FaultCold) {
		engine.TurnCold()
	}
	run := engine.start(received, body.Prompt, body.MaxTokens, !body.Stream || body.Options.IncludeUsage)
	if run == nil {
		reset(writer)
		return
	}
	if faults.has(FaultUnsure) {
		http.Error(writer, "internal failure", http.StatusServiceUnavailable)
		return
	}
	if !body.Stream {
		engine.serveWhole(writer, request, run)
		return
	}
	engine.stream(writer, request, run, 0, faults)
}

func (engine *Engine) serveResume(writer http.ResponseWriter, request *http.Request) {
	received := engine.receive(request)
	faults := engine.take()
	if faults.has(FaultResetEarly) {
		reset(writer)
		return
	}
	if faults.has(FaultRefuse) {
		refuse(writer, http.StatusServiceUnavailable, "no capacity")
		return
	}
	position, err := strconv.Atoi(request.FormValue("position"))
	run := engine.find(request.PathValue("id"), received.Organisation)
	switch {
	case run == nil:
		http.Error(writer, "no such run", http.StatusNotFound)
	case err != nil || position < 0 || position > len(run.answer):
		http.Error(writer, "invalid position", http.StatusBadRequest)
	default:
		engine.stream(writer, request, run, position, faults)
	}
}

func (engine *Engine) serveCancel(writer http.ResponseWriter, request *http.Request) {
	received := engine.receive(request)
	run := engine.find(request.PathValue("id"), received.Organisation)
	if run == nil {
		http.Error(writer, "no such run", http.StatusNotFound)
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.end(run, stopCancelled)
	if engine.runs[run.requestID] == run {
		delete(engine.runs, run.requestID)
	}
	writer.WriteHeader(http.StatusNoContent)
}

// find returns the run of a request id if it belongs to the organisation.
func (engine *Engine) find(requestID string, organisation clementinewind.Organisation) *run {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if run := engine.runs[requestID]; run != nil && run.organisation == organisation {
		return run
	}
	return nil
}

func (engine *Engine) serveLoad(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseInt(request.FormValue("after"), 10, 64)
	engine.mu.Lock()
	load := infer.Load{
		BootID: engine.bootID,
		Model:  engine.model,
		Role:   engine.role,
		Events: engine.cache.published(after, engine.config.ReportLag),
	}
	for _, sample := range engine.history {
		if time.Since(sample.time) < engine.config.ReportLag {
			break
		}
		load.Running, load.Waiting, load.CachedBlocks = sample.running, sample.waiting, sample.cached
	}
	engine.mu.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set(send.HeaderBootID, load.BootID)
	json.NewEncoder(writer).Encode(load)
}

func (engine *Engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	received := engine.receive(request)
	if engine.fenced(received.FencingToken) {
		refuse(writer, http.StatusConflict, "fencing token is old")
		return
	}
	order := Order{FencingToken: received.FencingToken}
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		refuse(writer, http.StatusBadRequest, err.Error())
		return
	}
	if order.Model != "" && pause.For(request.Context(), engine.config.LoadTime) != nil {
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.orders = append(engine.orders, order)
	if order.Model != "" {
		engine.model = order.Model
		engine.cache.clear()
	}
	if order.Role != "" {
		engine.role = order.Role
	}
	writer.WriteHeader(http.StatusNoContent)
}

// serveWhole answers without a stream.
func (engine *Engine) serveWhole(writer http.ResponseWriter, request *http.Request, run *run) {
	engine.attach(run)
	defer engine.detach(run)
	for read := 0; ; {
		produced, ended, changed := engine.progress(run, read)
		read = produced
		if ended {
			break
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		}
	}
	if run.stopped() != stopNot {
		reset(writer)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	json.NewEncoder(writer).Encode(newEvent(run, 0, strings.Join(run.answer, ""), true))
}

func setDefault[T comparable](value *T, otherwise T) {
	var zero T
	if *value == zero {
		*value = otherwise
	}
}

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
	// batchSlowdown is the fraction by which each additional request in the batch lengthens the time per token.
	batchSlowdown = 0.03
	// prefillTimePerByte applies to the bytes of the prompt that are not in the prefix cache.
	prefillTimePerByte = 20 * time.Microsecond
	defaultCacheBlocks = 4096
	defaultLoadTime    = 2 * time.Second
	defaultReportLag   = 500 * time.Millisecond
	defaultRetainTime  = 30 * time.Second
	// maxLeadTokens is how far generation may run ahead of the reader.
	maxLeadTokens   = 64
	maxRequestBytes = 1 << 20
)

// EngineConfig is the configuration of an Engine. Zero values take defaults.
type EngineConfig struct {
	// MaxBatch is the number of requests that run together; more wait in the engine.
	MaxBatch int
	// ColdBatch is the number of requests that a cold engine can run together. Each completed run adds one, up to
	// MaxBatch. A request above the number makes the engine restart.
	ColdBatch int
	// StartWarm gives a new engine its full capacity of MaxBatch.
	StartWarm bool
	// TokenTime is the time between tokens of a request that runs alone.
	TokenTime time.Duration
	// CacheBlocks is the size of the prefix cache. Of its events, each LoseEveryNthEvent-th is lost; 0 loses none.
	CacheBlocks       int
	LoseEveryNthEvent int64
	// ReportLag is the age of the data in load reports, cache events included.
	ReportLag time.Duration
	// LoadTime is how long it takes to load a model.
	LoadTime time.Duration
	// RetainTime is how long a completed run can be resumed.
	RetainTime time.Duration
	// ChecksFencing makes the engine refuse fencing tokens below the highest that it has seen.
	ChecksFencing bool
}

// Engine simulates a model engine with a batch, a prefix cache and cold starts. It is an http.Handler.
type Engine struct {
	recorder
	Faults

	config EngineConfig
	mux    *http.ServeMux

	mu       sync.Mutex
	bootID   string
	capacity int
	running  int
	waiting  []*run
	// unfinished holds the runs that have not ended, and runs those that can be resumed. If a request id was sent twice,
	// runs holds only the latest run.
	unfinished          map[*run]struct{}
	runs                map[string]*run
	cache               *prefixCache
	history             []loadSample
	highestFencingToken clementinewind.Offset
	model               string
	role                string
	orders              []Order
	restarts            int
}

// Order is an instruction to an engine to change its model or role.
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
	setDefault(&config.CacheBlocks, defaultCacheBlocks)
	setDefault(&config.ReportLag, defaultReportLag)
	setDefault(&config.LoadTime, defaultLoadTime)
	setDefault(&config.RetainTime, defaultRetainTime)
	engine := &Engine{
		config:   config,
		mux:      http.NewServeMux(),
		bootID:   rand.Text(),
		capacity: config.ColdBatch,
		runs:     map[string]*run{},

		unfinished:          map[*run]struct{}{},
		cache:               newPrefixCache(config.CacheBlocks, config.LoseEveryNthEvent),
		highestFencingToken: -1,
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

// BootID returns the boot id, which changes whenever the engine becomes cold.
func (engine *Engine) BootID() string {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.bootID
}

// Restarts returns how often the engine restarted, by Restart or by overload while cold.
func (engine *Engine) Restarts() int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.restarts
}

// Running returns the number of runs in the batch and of those that wait for it.
func (engine *Engine) Running() (running, waiting int) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.running, len(engine.waiting)
}

// Orders returns the orders that the engine carried out.
func (engine *Engine) Orders() []Order {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return append([]Order(nil), engine.orders...)
}

// TurnCold makes the engine cold without notice: a new boot id, an empty prefix cache and a capacity of ColdBatch. Runs
// continue.
func (engine *Engine) TurnCold() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.turnCold()
}

// Restart makes the engine cold, resets its connections and drops its runs.
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
	engine.restarts++
	engine.waiting = nil
	for run := range engine.unfinished {
		engine.endRun(run, stopReset)
	}
	clear(engine.runs)
}

// recordSample stores the current load for later load reports, which lag by ReportLag.
func (engine *Engine) recordSample() {
	now := time.Now()
	current := loadSample{time: now, running: engine.running, waiting: len(engine.waiting), cached: engine.cache.lru.Len()}
	for len(engine.history) > 1 && now.Sub(engine.history[1].time) >= engine.config.ReportLag {
		engine.history = engine.history[1:]
	}
	engine.history = append(engine.history, current)
}

// fenced reports whether a request must be refused because its fencing token is below the highest seen. It stores the
// token if it is higher.
func (engine *Engine) fenced(token clementinewind.Offset) bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	old := token < engine.highestFencingToken
	engine.highestFencingToken = max(engine.highestFencingToken, token)
	return old && engine.config.ChecksFencing
}

func (engine *Engine) serveGenerate(writer http.ResponseWriter, request *http.Request) {
	received := engine.recordRequest(request)
	faults := engine.takeFaults()
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
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxRequestBytes)).Decode(&body); err != nil {
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
	received := engine.recordRequest(request)
	faults := engine.takeFaults()
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
	received := engine.recordRequest(request)
	run := engine.find(request.PathValue("id"), received.Organisation)
	if run == nil {
		http.Error(writer, "no such run", http.StatusNotFound)
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.endRun(run, stopCancelled)
	if engine.runs[run.requestID] == run {
		delete(engine.runs, run.requestID)
	}
	writer.WriteHeader(http.StatusNoContent)
}

// find returns the run of a request id if it belongs to the organisation, or nil.
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
	received := engine.recordRequest(request)
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

// serveWhole serves a request that does not stream: it waits for the run and sends the answer as one JSON document.
func (engine *Engine) serveWhole(writer http.ResponseWriter, request *http.Request, run *run) {
	engine.addReader(run)
	defer engine.removeReader(run)
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
	if run.currentCause() != stopNone {
		reset(writer)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	json.NewEncoder(writer).Encode(newEvent(run, 0, strings.Join(run.answer, ""), true))
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

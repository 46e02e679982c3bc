package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/infer"
	"github.com/clementinewind/clementinewind/internal/route/send"
	"github.com/clementinewind/clementinewind/internal/share/pause"
)

// stopCause tells why a run ended before its last token.
type stopCause int

const (
	stopNone stopCause = iota
	stopCancelled
	stopReset
)

// run is the generation of one answer. The engine's mutex protects the fields from cause on.
type run struct {
	requestID    string
	organisation clementinewind.Organisation
	prompt       string
	bootID       string
	// cachedTokens is the part of the prompt that was in the prefix cache, with each byte counted as a token.
	cachedTokens int
	prefill      time.Duration
	answer       []string
	// usage says whether the stream ends with a usage event.
	usage bool

	engine   *Engine
	ctx      context.Context
	cancel   context.CancelFunc
	cause    stopCause
	produced int
	// read is the position of the latest reader, and readers the number of connections that read.
	read, readers int
	// inBatch says that the run has been admitted to the batch; ended says that it produces no more tokens.
	inBatch, ended bool
	changed        chan struct{}
}

// start admits a request. It returns nil if the request exceeded the capacity of a cold engine, which then restarts.
func (engine *Engine) start(received Received, prompt string, maxTokens int, usage bool) *run {
	blocks := infer.PrefixBlocks(prompt)
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.capacity < engine.config.MaxBatch && engine.running >= engine.capacity {
		engine.restart()
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	cached := engine.cache.lookUpAndStore(blocks) * len(prompt) / max(len(blocks), 1)
	run := &run{
		requestID:    received.RequestID,
		organisation: received.Organisation,
		prompt:       prompt,
		bootID:       engine.bootID,
		cachedTokens: cached,
		prefill:      time.Duration(len(prompt)-cached) * prefillTimePerByte,
		answer:       Answer(prompt, maxTokens),
		usage:        usage,
		engine:       engine,
		ctx:          ctx,
		cancel:       cancel,
		changed:      make(chan struct{}),
	}
	engine.runs[run.requestID] = run
	engine.unfinished[run] = struct{}{}
	engine.waiting = append(engine.waiting, run)
	engine.fillBatch()
	return run
}

// fillBatch moves waiting runs into the batch. The caller holds the mutex.
func (engine *Engine) fillBatch() {
	for len(engine.waiting) > 0 && engine.running < engine.config.MaxBatch {
		next := engine.waiting[0]
		engine.waiting = engine.waiting[1:]
		if !next.ended {
			next.inBatch = true
			engine.running++
			go engine.generate(next)
		}
	}
	engine.recordSample()
}

// endRun stops a run and takes it out of the batch. The caller holds the mutex.
func (engine *Engine) endRun(run *run, cause stopCause) {
	if run.ended {
		return
	}
	run.cause = cause
	run.ended = true
	delete(engine.unfinished, run)
	run.cancel()
	run.notify()
	if run.inBatch {
		engine.running--
		engine.fillBatch()
	}
}

// generate produces the tokens of a run and ends it, which lets the next waiting run start.
func (engine *Engine) generate(run *run) {
	engine.addTotals(run.requestID, 1, 0)
	engine.countBody(run.prompt)
	running := pause.For(run.ctx, run.prefill) == nil
	for running && run.produced < len(run.answer) {
		if running = pause.For(run.ctx, engine.tokenTime()) == nil && engine.waitForReader(run); running {
			engine.mu.Lock()
			run.produced++
			run.notify()
			engine.mu.Unlock()
			engine.addTotals(run.requestID, 0, 1)
		}
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if running {
		engine.capacity = min(engine.capacity+1, engine.config.MaxBatch)
		time.AfterFunc(engine.config.RetainTime, func() { engine.forget(run) })
	}
	engine.endRun(run, run.cause)
}

// waitForReader blocks while the run is maxLeadTokens ahead of its reader. It returns false if the run was stopped.
func (engine *Engine) waitForReader(run *run) bool {
	for {
		engine.mu.Lock()
		held := run.readers > 0 && run.produced-run.read >= maxLeadTokens
		changed := run.changed
		engine.mu.Unlock()
		if !held {
			return true
		}
		select {
		case <-changed:
		case <-run.ctx.Done():
			return false
		}
	}
}

// tokenTime returns the time per token at the current size of the batch.
func (engine *Engine) tokenTime() time.Duration {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return time.Duration(float64(engine.config.TokenTime) * (1 + batchSlowdown*float64(engine.running-1)))
}

func (engine *Engine) forget(run *run) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.runs[run.requestID] == run {
		delete(engine.runs, run.requestID)
	}
}

func (engine *Engine) addReader(run *run) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	run.readers++
}

func (engine *Engine) removeReader(run *run) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	run.readers--
	run.notify()
}

// progress records the position of the reader and returns the position of the run, whether it has ended, and a channel
// that is closed at the next change.
func (engine *Engine) progress(run *run, read int) (produced int, ended bool, changed <-chan struct{}) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if run.read != read {
		run.read = read
		run.notify()
	}
	return run.produced, run.ended, run.changed
}

// notify wakes the goroutines that wait for a change. The caller holds the engine's mutex.
func (run *run) notify() {
	close(run.changed)
	run.changed = make(chan struct{})
}

func (run *run) currentCause() stopCause {
	run.engine.mu.Lock()
	defer run.engine.mu.Unlock()
	return run.cause
}

// stream writes the tokens of a run, from a position on, as server-sent events.
func (engine *Engine) stream(writer http.ResponseWriter, request *http.Request, run *run, position int, faults faultSet) {
	engine.addReader(run)
	defer engine.removeReader(run)
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set(send.HeaderRequestID, run.requestID)
	header.Set(send.HeaderBootID, run.bootID)
	header.Set(send.HeaderCachedTokens, strconv.Itoa(run.cachedTokens))
	writer.WriteHeader(http.StatusOK)
	events := &eventWriter{writer: writer, run: run, faults: faults}
	events.flush()
	for read := position; ; {
		produced, ended, changed := engine.progress(run, read)
		for ; read < produced && run.currentCause() == stopNone; read++ {
			if !events.writeToken(request.Context(), read, read-position) {
				return
			}
		}
		switch {
		case run.currentCause() != stopNone:
			reset(writer)
			return
		case ended && read == len(run.answer):
			if events.applyFault(request.Context(), read-position) {
				events.writeEnd()
			}
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		}
	}
}

// event is one event of a stream, in the format of the OpenAI completions API with a position added.
type event struct {
	ID       string        `json:"id"`
	Object   string        `json:"object"`
	Position int           `json:"position"`
	Choices  []eventChoice `json:"choices"`
	Usage    *eventUsage   `json:"usage,omitempty"`
}

type eventChoice struct {
	Text         string `json:"text"`
	Index        int    `json:"index"`
	FinishReason string `json:"finish_reason,omitempty"`
}

type eventUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func newEvent(run *run, position int, text string, end bool) event {
	created := event{ID: run.requestID, Object: "text_completion", Position: position, Choices: []eventChoice{}}
	if text != "" {
		choice := eventChoice{Text: text}
		if end || position == len(run.answer)-1 {
			choice.FinishReason = "stop"
		}
		created.Choices = append(created.Choices, choice)
	}
	if end {
		created.Usage = &eventUsage{CompletionTokens: len(run.answer)}
	}
	return created
}

// eventWriter writes the events of one connection and applies its faults.
type eventWriter struct {
	writer http.ResponseWriter
	run    *run
	faults faultSet
	// held is the event that FaultReorder holds back until the next one is written.
	held *event
}

// applyFault applies the faults that end the connection after sent tokens. It returns false if the connection must not
// be used any further.
func (events *eventWriter) applyFault(ctx context.Context, sent int) bool {
	switch {
	case events.faults.activeAt(FaultReset, sent):
		reset(events.writer)
		return false
	case events.faults.activeAt(FaultSilence, sent):
		<-ctx.Done()
		return false
	case events.faults.activeAt(FaultShort, sent):
		fmt.Fprint(events.writer, "data: [DONE]\n\n")
		return false
	}
	return true
}

// writeToken writes the token at a position, after sent tokens on this connection. It returns false if the stream has
// ended.
func (events *eventWriter) writeToken(ctx context.Context, position, sent int) bool {
	if !events.applyFault(ctx, sent) {
		return false
	}
	if slow, ok := events.faults[FaultSlow]; ok && pause.For(ctx, slow.Delay) != nil {
		return false
	}
	next := newEvent(events.run, position, events.run.answer[position], false)
	if events.faults.activeAt(FaultForeign, sent) {
		foreign := next
		foreign.ID = clementinewind.NewRequestID().String()
		foreign.Choices = []eventChoice{{Text: "foreign "}}
		events.writeEvent(foreign)
	}
	if fault, ok := events.faults[FaultDrop]; ok && sent == fault.After {
		return true
	}
	switch {
	case events.held != nil:
		events.writeEvent(next)
		events.writeEvent(*events.held)
		events.held = nil
	case events.faults.activeAt(FaultReorder, sent):
		events.held = &next
	default:
		events.writeEvent(next)
	}
	if events.faults.activeAt(FaultDuplicate, sent) {
		events.writeEvent(next)
	}
	events.flush()
	return true
}

// writeEnd writes the usage and the end marker. A held event follows the usage.
func (events *eventWriter) writeEnd() {
	if events.run.usage {
		events.writeEvent(newEvent(events.run, len(events.run.answer), "", true))
	}
	if events.held != nil {
		events.writeEvent(*events.held)
	}
	fmt.Fprint(events.writer, "data: [DONE]\n\n")
}

func (events *eventWriter) writeEvent(written event) {
	encoded, err := json.Marshal(written)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(events.writer, "id: %d\ndata: %s\n\n", written.Position, encoded)
}

func (events *eventWriter) flush() {
	http.NewResponseController(events.writer).Flush()
}

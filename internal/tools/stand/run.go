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
	stopNot stopCause = iota
	stopCancelled
	stopReset
)

// run is the generation of one answer. The engine's mutex protects the fields below answer.
type run struct {
	requestID    string
	organisation clementinewind.Organisation
	prompt       string
	bootID       string
	cachedTokens int
	prefill      time.Duration
	answer       []string
	// usage says that the stream ends with a usage event.
	usage bool

	engine   *Engine
	ctx      context.Context
	cancel   context.CancelFunc
	cause    stopCause
	produced int
	// read is the position of the reader, and readers the number of connections that read.
	read, readers int
	// batched says that the run is in the batch; ended says that it produces no more tokens.
	batched, ended bool
	changed        chan struct{}
}

// start admits a request. It returns nil if the engine was cold and collapsed.
func (engine *Engine) start(received Received, prompt string, maxTokens int, usage bool) *run {
	blocks := infer.PrefixBlocks(prompt)
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.capacity < engine.config.MaxBatch && engine.running >= engine.capacity {
		engine.restart()
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	cached := engine.cache.use(blocks) * len(prompt) / max(len(blocks), 1)
	run := &run{
		requestID:    received.RequestID,
		organisation: received.Organisation,
		prompt:       prompt,
		bootID:       engine.bootID,
		cachedTokens: cached,
		prefill:      time.Duration(len(prompt)-cached) * prefillTime,
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
	engine.fill()
	return run
}

// fill moves waiting runs into the batch. The caller holds the mutex.
func (engine *Engine) fill() {
	for len(engine.waiting) > 0 && engine.running < engine.config.MaxBatch {
		next := engine.waiting[0]
		engine.waiting = engine.waiting[1:]
		if !next.ended {
			next.batched = true
			engine.running++
			go engine.generate(next)
		}
	}
	engine.sample()
}

// end takes a run out of the batch. The caller holds the mutex.
func (engine *Engine) end(run *run, cause stopCause) {
	if run.ended {
		return
	}
	run.cause = cause
	run.ended = true
	delete(engine.unfinished, run)
	run.cancel()
	run.notify()
	if run.batched {
		engine.running--
		engine.fill()
	}
}

// generate produces the tokens of a run and then starts the next waiting one.
func (engine *Engine) generate(run *run) {
	engine.add(run.requestID, 1, 0)
	engine.addBody(run.prompt)
	whole := pause.For(run.ctx, run.prefill) == nil
	for whole && run.produced < len(run.answer) {
		if whole = pause.For(run.ctx, engine.tokenTime()) == nil && engine.waitForReader(run); whole {
			engine.mu.Lock()
			run.produced++
			run.notify()
			engine.mu.Unlock()
			engine.add(run.requestID, 0, 1)
		}
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if whole {
		engine.capacity = min(engine.capacity+1, engine.config.MaxBatch)
		time.AfterFunc(engine.config.RetainTime, func() { engine.forget(run) })
	}
	engine.end(run, run.cause)
}

// waitForReader holds a run whose reader is slow.
func (engine *Engine) waitForReader(run *run) bool {
	for {
		engine.mu.Lock()
		held := run.readers > 0 && run.produced-run.read >= leadTokens
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

// tokenTime is the time of one token at the present size of the batch.
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

func (engine *Engine) attach(run *run) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	run.readers++
}

func (engine *Engine) detach(run *run) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	run.readers--
	run.notify()
}

// progress notes the position of the reader and returns that of the run, whether the run ended, and a channel that is
// closed at the next change.
func (engine *Engine) progress(run *run, read int) (produced int, ended bool, changed <-chan struct{}) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if run.read != read {
		run.read = read
		run.notify()
	}
	return run.produced, run.ended, run.changed
}

// notify wakes those that wait for a change. The caller holds the engine's mutex.
func (run *run) notify() {
	close(run.changed)
	run.changed = make(chan struct{})
}

func (run *run) stopped() stopCause {
	run.engine.mu.Lock()
	defer run.engine.mu.Unlock()
	return run.cause
}

// stream writes a run from a position as server-sent events.
func (engine *Engine) stream(writer http.ResponseWriter, request *http.Request, run *run, position int, faults faultSet) {
	engine.attach(run)
	defer engine.detach(run)
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
		for ; read < produced && run.stopped() == stopNot; read++ {
			if !events.token(request.Context(), read, read-position) {
				return
			}
		}
		switch {
		case run.stopped() != stopNot:
			reset(writer)
			return
		case ended && read == len(run.answer):
			if events.fault(request.Context(), read-position) {
				events.end()
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

// event is one event of a stream, in the form of the usual completions API.
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

// eventWriter writes the events of one connection with its faults.
type eventWriter struct {
	writer http.ResponseWriter
	run    *run
	faults faultSet
	// held is the event that a reordering fault keeps back.
	held *event
}

// fault acts on the connection after sent tokens. It returns false if the connection must not be used any further.
func (events *eventWriter) fault(ctx context.Context, sent int) bool {
	switch {
	case events.faults.at(FaultReset, sent):
		reset(events.writer)
		return false
	case events.faults.at(FaultSilence, sent):
		<-ctx.Done()
		return false
	case events.faults.at(FaultShort, sent):
		fmt.Fprint(events.writer, "data: [DONE]\n\n")
		return false
	}
	return true
}

// token writes the token at a position, after sent tokens on this connection. It returns false if the stream has ended.
func (events *eventWriter) token(ctx context.Context, position, sent int) bool {
	if !events.fault(ctx, sent) {
		return false
	}
	if slow, ok := events.faults[FaultSlow]; ok && pause.For(ctx, slow.Delay) != nil {
		return false
	}
	next := newEvent(events.run, position, events.run.answer[position], false)
	if events.faults.at(FaultForeign, sent) {
		foreign := next
		foreign.ID = clementinewind.NewRequestID().String()
		foreign.Choices = []eventChoice{{Text: "foreign "}}
		events.write(foreign)
	}
	if fault, ok := events.faults[FaultDrop]; ok && sent == fault.After {
		return true
	}
	switch {
	case events.held != nil:
		events.write(next)
		events.write(*events.held)
		events.held = nil
	case events.faults.at(FaultReorder, sent):
		events.held = &next
	default:
		events.write(next)
	}
	if events.faults.at(FaultDuplicate, sent) {
		events.write(next)
	}
	events.flush()
	return true
}

// end writes the usage and the end mark. A held event comes after the usage.
func (events *eventWriter) end() {
	if events.run.usage {
		events.write(newEvent(events.run, len(events.run.answer), "", true))
	}
	if events.held != nil {
		events.write(*events.held)
	}
	fmt.Fprint(events.writer, "data: [DONE]\n\n")
}

func (events *eventWriter) write(written event) {
	encoded, err := json.Marshal(written)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(events.writer, "id: %d\ndata: %s\n\n", written.Position, encoded)
}

func (events *eventWriter) flush() {
	http.NewResponseController(events.writer).Flush()
}

package bench

import (
	"container/heap"
	"time"
)

// loop is a discrete-event loop that runs events in the order of their virtual time. All events run on one goroutine, so
// that the seed determines the run.
type loop struct {
	events   eventQueue
	sequence int
}

type event struct {
	at       time.Time
	sequence int
	act      func()
}

type eventQueue []*event

func (queue eventQueue) Len() int { return len(queue) }

func (queue eventQueue) Less(i, j int) bool {
	if !queue[i].at.Equal(queue[j].at) {
		return queue[i].at.Before(queue[j].at)
	}
	return queue[i].sequence < queue[j].sequence
}

func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }

// Push implements heap.Interface.
func (queue *eventQueue) Push(value any) { *queue = append(*queue, value.(*event)) }

// Pop implements heap.Interface.
func (queue *eventQueue) Pop() any {
	last := len(*queue) - 1
	popped := (*queue)[last]
	(*queue)[last] = nil
	*queue = (*queue)[:last]
	return popped
}

// after schedules act after a delay.
func (loop *loop) after(delay time.Duration, act func()) {
	loop.sequence++
	heap.Push(&loop.events, &event{at: time.Now().Add(delay), sequence: loop.sequence, act: act})
}

// every schedules act periodically.
func (loop *loop) every(interval time.Duration, act func()) {
	loop.after(interval, func() {
		act()
		loop.every(interval, act)
	})
}

// run executes the events of a period of virtual time.
func (loop *loop) run(duration time.Duration) {
	end := time.Now().Add(duration)
	for len(loop.events) > 0 && !loop.events[0].at.After(end) {
		next := heap.Pop(&loop.events).(*event)
		time.Sleep(time.Until(next.at))
		next.act()
	}
}

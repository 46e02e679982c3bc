// Command review-stand plays the cases of the review: it starts routers as processes before stand-ins of the platform's store, replicas
// and clients, and writes what was sent, answered and run to record.txt.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	caseTimeout = 115 * time.Second
)

// cases maps the name of a case to its play, which returns whether the rule held.
var cases = map[string]func(*world) (bool, error){
	"poisoned-prompts": poisonedPrompts,
	"missed-deletion":  missedDeletion,
	"forgotten-pause":  forgottenPause,
	"dead-addresses":   deadAddresses,
	"idle-connections": idleConnections,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	world, err := newWorld(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer world.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	type result struct {
		held bool
		err  error
	}
	ended := make(chan result, 1)
	go func() {
		held, err := play(world)
		ended <- result{held, err}
	}()
	select {
	case result := <-ended:
		switch {
		case result.err != nil:
			world.logf("NOT RUN: %v", result.err)
			return exitNotRun
		case !result.held:
			world.logf("BROKEN")
			return exitBroken
		}
		world.logf("HELD")
		return exitHeld
	case <-time.After(caseTimeout):
		world.logf("NOT RUN: took longer than %v", caseTimeout)
	case received := <-stopped:
		world.logf("NOT RUN: %v", received)
	}
	return exitNotRun
}

package soak

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// grace is the time that a router gets to stop.
	grace = 3 * time.Second
	// killSlack is how much longer a router may take before it is killed and counts as one that does not stop.
	killSlack = 2 * time.Second
	// restartPause is the time between the end of a process and its next start.
	restartPause = 300 * time.Millisecond
	callerPort   = 21001
	readyPort    = 21002
	locatePort   = 21003
	firstPort    = 21004
	lastPort     = 21010
)

const settingsText = `[Instance]
Name = router-%[1]d
Zone = %[2]s
[Listen]
Caller = %[3]s:%[4]d
Ready = %[3]s:%[5]d
Locate = %[3]s:%[6]d
Ports = %[7]d-%[8]d
[Store]
Address = %[9]s
[Times]
Grace = %[10]s
[Retry]
Extra = 100
`

// router is a router process that is started again when it ends.
type router struct {
	number   int
	address  netip.Addr
	binary   string
	settings string
	log      *os.File
	proxy    *proxy
	checker  *checker

	mutex   sync.Mutex
	command *exec.Cmd
	// planned is set while an end of the process is expected; incarnation counts the starts.
	planned     bool
	incarnation int
	closed      bool
	done        chan struct{}
}

func startRouter(config Config, number int, world *world, checker *checker) (*router, error) {
	relay, err := newProxy(world.address)
	if err != nil {
		return nil, err
	}
	// Each run has addresses of its own, so that runs can go on side by side.
	address := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()/250%250), byte(1 + os.Getpid()%250), byte(100 + number)})
	started := &router{
		number: number, address: address, binary: config.Binary, proxy: relay, checker: checker, done: make(chan struct{}),
		settings: filepath.Join(config.Folder, fmt.Sprintf("router-%d.ini", number)),
	}
	zone := []string{"a", "b", "c"}[number%3]
	text := fmt.Sprintf(settingsText, number, zone, address, callerPort, readyPort, locatePort, firstPort, lastPort, relay.address(), grace)
	if err := os.WriteFile(started.settings, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings of a router")
	}
	started.log, err = os.Create(filepath.Join(config.Folder, fmt.Sprintf("router-%d.log", number)))
	if err != nil {
		return nil, errors.Wrap(err, "create log of a router")
	}
	if err := started.start(); err != nil {
		return nil, err
	}
	go started.watch()
	return started, nil
}

func (router *router) start() error {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.command = exec.Command(router.binary, "entry", "--config", router.settings)
	router.command.Stdout, router.command.Stderr = router.log, router.log
	router.planned = false
	router.incarnation++
	return errors.Wrap(router.command.Start(), "start a router")
}

// watch starts the process again whenever it ends.
func (router *router) watch() {
	defer close(router.done)
	for {
		router.mutex.Lock()
		command := router.command
		router.mutex.Unlock()
		err := command.Wait()
		router.mutex.Lock()
		planned, closed := router.planned, router.closed
		router.mutex.Unlock()
		if closed {
			return
		}
		if !planned {
			router.checker.breakf("router %d ended by itself: %v", router.number, err)
		}
		router.checker.disturb(time.Now())
		time.Sleep(restartPause)
		if err := router.start(); err != nil {
			router.checker.breakf("router %d did not start: %v", router.number, err)
			return
		}
	}
}

// signal sends a signal to the process that runs now; a planned one ends it.
func (router *router) signal(signal syscall.Signal, planned bool) *os.Process {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if planned {
		router.planned = true
	}
	// A process that has ended is about to be started again.
	_ = router.command.Process.Signal(signal)
	return router.command.Process
}

// terminate asks the process to stop and kills it if it does not.
func (router *router) terminate() {
	process := router.signal(syscall.SIGTERM, true)
	time.AfterFunc(grace+killSlack, func() {
		if err := process.Signal(syscall.SIGKILL); err == nil {
			router.mutex.Lock()
			defer router.mutex.Unlock()
			if !router.closed {
				router.checker.breakf("router %d did not stop in %v", router.number, grace+killSlack)
			}
		}
	})
}

// current returns the number of the process that runs now.
func (router *router) current() int {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.incarnation
}

func (router *router) close() {
	router.mutex.Lock()
	router.closed = true
	// A stopped process does not take the kill before it goes on.
	_ = router.command.Process.Signal(syscall.SIGCONT)
	_ = router.command.Process.Kill()
	router.mutex.Unlock()
	<-router.done
	router.proxy.close()
	_ = router.log.Close()
}

func (router *router) url(port int, path string) string {
	return fmt.Sprintf("http://%s%s", netip.AddrPortFrom(router.address, uint16(port)), path)
}

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
	// stopGrace is the grace period of a router for its shutdown.
	stopGrace = 3 * time.Second
	// killDelay is how much longer a shutdown may take before the router is killed and a violation is reported.
	killDelay = 2 * time.Second
	// restartDelay is the time between the exit of a process and its restart.
	restartDelay = 300 * time.Millisecond
	callerPort   = 21001
	readyPort    = 21002
	locatePort   = 21003
	firstPort    = 21004
	lastPort     = 21010
)

const routerSettings = `[Instance]
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

// router is a router process that is restarted when it exits.
type router struct {
	number   int
	address  netip.Addr
	binary   string
	settings string
	log      *os.File
	proxy    *proxy
	checker  *checker
	// touch has the faults of the process and of its path to the store.
	touch touch

	mutex   sync.Mutex
	command *exec.Cmd
	// stopExpected is set once the process has been told to stop; incarnation counts the starts.
	stopExpected bool
	incarnation  int
	closed       bool
	done         chan struct{}
}

func startRouter(config Config, number int, environment *environment, checker *checker) (*router, error) {
	storeProxy, err := newProxy(environment.address)
	if err != nil {
		return nil, err
	}
	// The address depends on the process id, so that concurrent runs do not conflict.
	address := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()/250%250), byte(1 + os.Getpid()%250), byte(100 + number)})
	started := &router{
		number: number, address: address, binary: config.Binary, proxy: storeProxy, checker: checker, done: make(chan struct{}),
		settings: filepath.Join(config.Folder, fmt.Sprintf("router-%d.ini", number)),
	}
	zone := []string{"a", "b", "c"}[number%3]
	text := fmt.Sprintf(routerSettings, number, zone, address, callerPort, readyPort, locatePort, firstPort, lastPort, storeProxy.address(), stopGrace)
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
	go started.supervise()
	return started, nil
}

// errClosed is the error of a start after close.
var errClosed = errors.New("router is closed")

func (router *router) start() error {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if router.closed {
		return errClosed
	}
	router.command = exec.Command(router.binary, "entry", "--config", router.settings)
	router.command.Stdout, router.command.Stderr = router.log, router.log
	router.stopExpected = false
	router.incarnation++
	router.touch.disturbUntil(time.Now())
	return errors.Wrap(router.command.Start(), "start a router")
}

// supervise restarts the process whenever it exits.
func (router *router) supervise() {
	defer close(router.done)
	for {
		router.mutex.Lock()
		command := router.command
		router.mutex.Unlock()
		err := command.Wait()
		router.mutex.Lock()
		expected, closed := router.stopExpected, router.closed
		router.mutex.Unlock()
		if closed {
			return
		}
		if !expected {
			router.checker.reportf("router %d exited unexpectedly: %v", router.number, err)
		}
		router.checker.excuseUntil(time.Now())
		time.Sleep(restartDelay)
		if err := router.start(); errors.Is(err, errClosed) {
			return
		} else if err != nil {
			router.checker.reportf("router %d did not start: %v", router.number, err)
			return
		}
	}
}

// signal sends a signal to the current process; stopExpected tells that it makes the process exit.
func (router *router) signal(signal syscall.Signal, stopExpected bool) *os.Process {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if stopExpected {
		router.stopExpected = true
		// Its next start is the end of this fault.
		router.touch.disturbUntil(time.Now().Add(stopGrace + killDelay))
	}
	// The signal fails if the process has exited; supervise then restarts it.
	_ = router.command.Process.Signal(signal)
	return router.command.Process
}

// terminate stops the process with SIGTERM, and kills it if it does not exit in time.
func (router *router) terminate() {
	process := router.signal(syscall.SIGTERM, true)
	time.AfterFunc(stopGrace+killDelay, func() {
		if err := process.Signal(syscall.SIGKILL); err == nil {
			router.mutex.Lock()
			defer router.mutex.Unlock()
			if !router.closed {
				router.checker.reportf("router %d did not stop within %v", router.number, stopGrace+killDelay)
			}
		}
	})
}

// currentIncarnation returns how often the process has been started.
func (router *router) currentIncarnation() int {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.incarnation
}

func (router *router) close() {
	router.mutex.Lock()
	router.closed = true
	// Continue the process, so that it is also killed while it is stopped.
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

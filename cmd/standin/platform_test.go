package main

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
)

// mainVariable names an environment variable that makes the test binary run main, which saves building the command.
const mainVariable = "STANDIN_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards against a process that does not log its address, ignores injected faults, or does not exit cleanly on SIGTERM while
// a read waits at the tail.
func TestPlatformProcess(t *testing.T) {
	process := exec.CommandContext(t.Context(), os.Args[0], "platform", "--listen", "127.0.0.1:0")
	process.Env = append(os.Environ(), mainVariable+"=1")
	output, err := process.StderrPipe()
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, process.Start(), quicktest.IsNil)
	lines := bufio.NewScanner(output)
	quicktest.Assert(t, lines.Scan(), quicktest.IsTrue)
	match := regexp.MustCompile(`address=(\S+)`).FindStringSubmatch(lines.Text())
	quicktest.Assert(t, match, quicktest.HasLen, 2, quicktest.Commentf("line %q", lines.Text()))
	url := "http://" + match[1]

	httpClient := plog.NewHTTPClient(nil)
	defer httpClient.CloseIdleConnections()
	client := plog.NewClient(plog.ClientConfig{HTTPClient: httpClient, URL: url})
	offset, err := client.Append(t.Context(), "s", []clementinewind.Record{{Writer: 1, Sequence: 1}})
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, offset, quicktest.Equals, clementinewind.Offset(0))
	for _, test := range []struct {
		faults string
		want   error
	}{{`{"Down": true}`, clementinewind.ErrLogUnavailable}, {`{}`, nil}} {
		response, err := http.Post(url+stand.PlatformFaultsPath, "application/json", strings.NewReader(test.faults))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, response.Body.Close(), quicktest.IsNil)
		quicktest.Assert(t, response.StatusCode, quicktest.Equals, http.StatusNoContent)
		_, err = client.Read(t.Context(), clementinewind.LogQuery{Stream: "s"})
		quicktest.Assert(t, errors.Is(err, test.want), quicktest.IsTrue, quicktest.Commentf("%v", err))
	}

	// After the first read at the tail the connection is open, so that the next read waits there when the process stops.
	fresh := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go plog.NewReader(plog.ReaderConfig{
		Log: client, Stream: "s",
		Handle: func(context.Context, clementinewind.LogBatch) error { return nil },
		OnFreshness: func(plog.Freshness) {
			select {
			case fresh <- struct{}{}:
			default:
			}
		},
	}).Run(ctx)
	<-fresh
	quicktest.Assert(t, process.Process.Signal(syscall.SIGTERM), quicktest.IsNil)
	quicktest.Assert(t, process.Wait(), quicktest.IsNil)
}

package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"
)

// Guards against a command that does not log its address, does not serve, or does not stop cleanly.
func TestServe(t *testing.T) {
	for name, path := range map[string]string{"engine": "/v1/completions", "booking": "/bookings"} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			reader, writer := io.Pipe()
			command := &cli.Command{Writer: writer, Commands: []*cli.Command{engineCommand(), bookingCommand()}}
			stopped := make(chan error, 1)
			go func() {
				stopped <- command.Run(ctx, []string{"standin", name, "--listen", "127.0.0.1:0", "--zone", "a"})
			}()
			lines := bufio.NewReader(reader)
			line, err := lines.ReadString('\n')
			quicktest.Assert(t, err, quicktest.IsNil)
			go io.Copy(io.Discard, lines)
			matched := regexp.MustCompile(`listening: address=(\S+) .*zone=a`).FindStringSubmatch(line)
			quicktest.Assert(t, matched, quicktest.HasLen, 2, quicktest.Commentf("%s", line))
			response, err := http.Post("http://"+matched[1]+path, "application/json", strings.NewReader(`{"prompt":"p","max_tokens":4}`))
			quicktest.Assert(t, err, quicktest.IsNil)
			response.Body.Close()
			quicktest.Assert(t, response.StatusCode, quicktest.Equals, http.StatusOK)
			cancel()
			quicktest.Assert(t, <-stopped, quicktest.IsNil)
		})
	}
}

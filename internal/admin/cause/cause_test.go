package cause_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind/internal/admin/cause"
)

// routerLines returns the parsed lines of a router's logger.
func routerLines(write func(logger hclog.Logger)) []cause.Line {
	var out bytes.Buffer
	write(hclog.New(&hclog.LoggerOptions{Output: &out, TimeFormat: "15:04:05.000"}).With("Instance", "router-1"))
	search := cause.Search{Request: "id"}
	if err := search.ReadLog(strings.NewReader("not a line\n" + out.String())); err != nil {
		panic(err)
	}
	return search.Lines()
}

func TestExplain(t *testing.T) {
	tests := map[string]struct {
		write     func(logger hclog.Logger)
		want      string
		wantLines int
	}{
		"refused": {func(logger hclog.Logger) {
			logger.Warn("rejected", "Request", "id", "Status", 503, "Reason", "NoCapacity", "Detail", "no upstream", "RetryAfter", "400ms", "Tried", 0)
		}, "refused and has not run", 1},
		"above its fair share": {func(logger hclog.Logger) {
			logger.Warn("rejected", "Request", "id", "Status", 503, "Reason", "NoCapacity", "Detail", "organisation got far more than one that waits",
				"RetryAfter", "700ms", "Share", 1.4, "Tried", 0)
		}, "its organisation had 1.4 of its fair share while one that waits had far less; return after 700ms", 1},
		"in quarantine": {func(logger hclog.Logger) {
			logger.Warn("rejected", "Request", "id", "Status", 503, "Reason", "Quarantined", "Detail", "prompt part 9b1d5d86714c532e crashed 3 upstreams",
				"RetryAfter", "4m59s", "Tried", 0)
		}, "has not run: prompt part 9b1d5d86714c532e crashed 3 upstreams, so that no request with it is sent before the part is probed in 4m59s", 1},
		"withdrawn": {func(logger hclog.Logger) {
			logger.Info("placed", "Request", "id", "Upstream", "u")
			logger.Info("attempt failed", "Request", "id", "Upstream", "u", "Error", "context canceled")
			logger.Warn("rejected", "Request", "id", "Status", 502, "Reason", "Quarantined", "Detail", "withdrawn from its upstream", "Tried", 1)
		}, "waited at upstream u and was withdrawn", 3},
		"crashed": {func(logger hclog.Logger) {
			logger.Info("placed", "Request", "id", "Upstream", "u")
			logger.Info("stream broke off", "Request", "id", "Upstream", "u", "Deadline", false, "Error", "unexpected EOF")
			logger.Warn("answer broken off", "Request", "id", "Events", 7)
			logger.Warn("upstream crashed", "Upstream", "u", "Answering", []string{"other"})
		}, "cut after 7 events because upstream u crashed", 4},
		"broken off": {func(logger hclog.Logger) {
			logger.Info("placed", "Request", "id", "Upstream", "u")
			logger.Info("upstream gone", "Upstream", "u", "Cause", "entry deleted")
			logger.Info("upstream gone", "Upstream", "another", "Cause", "entry deleted")
			logger.Info("stream broke off", "Request", "id", "Upstream", "u", "Deadline", false, "Error", "unexpected EOF")
			logger.Warn("answer broken off", "Request", "id", "Events", 7)
		}, `cut after 7 events because upstream u broke it off: unexpected EOF`, 4},
		"denied": {func(logger hclog.Logger) {
			logger.Info("configuration in force", "Version", 8)
			logger.Warn("rejected", "Request", "id", "Status", 401, "Reason", "Unauthorized")
		}, "no organisation of the configuration in force holds its key", 2},
		"failed": {func(logger hclog.Logger) {
			logger.Info("placed", "Request", "id", "Upstream", "u")
			logger.Info("attempt failed", "Request", "id", "Upstream", "u", "Error", "connection to upstream broke: EOF")
			logger.Warn("rejected", "Request", "id", "Status", 502, "Reason", "UpstreamFailed", "Detail", "upstream failed", "Tried", 1)
		}, "after upstream u failed it: connection to upstream broke: EOF", 3},
		"answered": {func(logger hclog.Logger) {
			logger.Info("ended", "Request", "id", "Outcome", "Answered", "Detail", "200", "Took", "12ms")
		}, "after 12ms", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report, found := cause.Explain(routerLines(test.write), "id")
			quicktest.Assert(t, found, quicktest.IsTrue)
			quicktest.Check(t, strings.Contains(report.Cause, test.want), quicktest.IsTrue, quicktest.Commentf("%s", report.Cause))
			quicktest.Check(t, report.Lines, quicktest.HasLen, test.wantLines)
		})
	}
	_, found := cause.Explain(nil, "id")
	quicktest.Check(t, found, quicktest.IsFalse)
}

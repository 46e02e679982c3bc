package conf_test

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind/internal/admin/conf"
)

// renderTemplate fills in the template deploy/entry.ini as the platform does.
func renderTemplate(t *testing.T) string {
	t.Helper()
	template, err := os.ReadFile("../../../deploy/entry.ini")
	quicktest.Assert(t, err, quicktest.IsNil)
	values := map[string]string{
		"node": "front-1", "zone": "guj-a", "ip": "10.1.0.33", "listen.front": "10.1.0.33:8783", "listen.ready": "10.1.0.33:8780",
		"listen.directory": "10.1.0.33:8789", "portRange.0": "7400", "portRange.1": "7415", "platform.address": "10.200.1.7:8781", "platform.keep_s": "300",
		"bootstrap":       "true",
		"limits.memoryMb": "284", "limits.maxFds": "4100", "limits.cpuShare": "0.4", "bounds.graceS": "8", "bounds.contactMs": "3000", "bounds.ttl_max_s": "5",
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10", "bounds.budgetExtra": "58", "bounds.coldOverrun": "1.5",
		"bounds.coldSlack": "5", "bounds.quotaWindowS": "4", "bounds.passMs": "200",
	}
	return regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(string(template), func(placeholder string) string {
		value, ok := values[strings.Trim(placeholder, "{}")]
		quicktest.Check(t, ok, quicktest.IsTrue, quicktest.Commentf("%s", placeholder))
		return value
	})
}

func TestParseEntry(t *testing.T) {
	entry, err := conf.ParseEntry("entry.ini", []byte(renderTemplate(t)))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, entry.CallerListen.String(), quicktest.Equals, "10.1.0.33:8783")
	quicktest.Check(t, entry.FirstPort, quicktest.Equals, 7400)
	quicktest.Check(t, entry.StoreRetention, quicktest.Equals, 5*time.Minute)
	quicktest.Check(t, entry.StoreNew, quicktest.IsTrue)
	quicktest.Check(t, entry.RetryExtra, quicktest.Equals, 58.0)
	quicktest.Check(t, entry.Grace, quicktest.Equals, 8*time.Second)
	quicktest.Check(t, entry.EventDelay, quicktest.Equals, 200*time.Millisecond)
	quicktest.Check(t, entry.MemoryBytes, quicktest.Equals, int64(284<<20))
	quicktest.Check(t, entry.MaxConnections(), quicktest.Equals, 3900)
	quicktest.Check(t, entry.MaxRefusedFraction, quicktest.Equals, 0.95)
}

// Guards against a process that does not start on a deployment without roll-outs, where the platform renders nothing, and against wrong
// values that are ignored.
func TestWithRollout(t *testing.T) {
	entry := conf.DefaultEntry()
	changed, err := entry.WithRollout("0.05", "2500")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, changed.RolloutShare, quicktest.Equals, 0.05)
	quicktest.Check(t, changed.RollbackTime, quicktest.Equals, 2500*time.Millisecond)
	unchanged, err := entry.WithRollout("", "")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, unchanged.RolloutShare, quicktest.Equals, entry.RolloutShare)
	quicktest.Check(t, unchanged.RollbackTime, quicktest.Equals, entry.RollbackTime)
	for _, wrong := range [][2]string{{"2", ""}, {"-0.1", ""}, {"x", ""}, {"", "x"}, {"", "-1"}} {
		_, err := entry.WithRollout(wrong[0], wrong[1])
		quicktest.Check(t, err, quicktest.IsNotNil, quicktest.Commentf("%v", wrong))
	}
}

// Guards against a process that does not start because a number has a fraction: the platform may render any number with one.
func TestParseEntryFractions(t *testing.T) {
	text := renderTemplate(t)
	for old, replacement := range map[string]string{
		"Extra = 58": "Extra = 33.1578947368421", "Memory = 284MiB": "Memory = 160.5MiB", "Descriptors = 4100": "Descriptors = 4100.5",
		"Grace = 8s": "Grace = 8.25s", "Window = 10s": "Window = 9.5s",
	} {
		quicktest.Assert(t, strings.Contains(text, old), quicktest.IsTrue, quicktest.Commentf("%s", old))
		text = strings.Replace(text, old, replacement, 1)
	}
	entry, err := conf.ParseEntry("entry.ini", []byte(text))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, entry.RetryExtra, quicktest.Equals, 33.1578947368421)
	quicktest.Check(t, entry.MemoryBytes, quicktest.Equals, int64(160.5*(1<<20)))
	quicktest.Check(t, entry.Descriptors, quicktest.Equals, 4100)
	quicktest.Check(t, entry.Grace, quicktest.Equals, 8250*time.Millisecond)
	quicktest.Check(t, entry.RetryWindow, quicktest.Equals, 9500*time.Millisecond)
}

// Guards against invalid settings that are accepted, and against errors that name only the first fault.
func TestParseEntryFaults(t *testing.T) {
	tests := map[string]struct {
		old, replacement string
		kind             conf.FaultKind
	}{
		"no name":             {"Name = front-1", "Name =", conf.FaultMissing},
		"no store":            {"Address = 10.200.1.7:8781", "", conf.FaultMissing},
		"bad address":         {"Caller = 10.1.0.33:8783", "Caller = front:8783", conf.FaultBadAddress},
		"same address":        {"Caller = 10.1.0.33:8783", "Caller = 10.1.0.33:8780", conf.FaultDuplicateAddress},
		"no range":            {"Ports = 7400-7415", "Ports = 7400", conf.FaultBadValue},
		"range backwards":     {"Ports = 7400-7415", "Ports = 7415-7400", conf.FaultOutOfRange},
		"no unit":             {"Grace = 8s", "Grace = 8", conf.FaultWrongUnit},
		"ratio out of range":  {"Ratio = 0.2", "Ratio = -1", conf.FaultOutOfRange},
		"ratio is no number":  {"Ratio = 0.2", "Ratio = NaN", conf.FaultOutOfRange},
		"unknown key":         {"Extra = 58", "Extras = 58", conf.FaultUnknownKey},
		"refuses too much":    {"[Share]", "[Load]\nMostRefused = 1.5\n[Share]", conf.FaultOutOfRange},
		"part is no hash":     {"[Share]", "[Load]\nAllowedParts = 9b1d5d86714c532e,a part\n[Share]", conf.FaultBadValue},
		"too few descriptors": {"Descriptors = 4100", "Descriptors = 10", conf.FaultOutOfRange},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(renderTemplate(t), test.old, test.replacement, 1)
			_, err := conf.ParseEntry("entry.ini", []byte(text))
			var fault conf.Fault
			quicktest.Assert(t, errors.As(err, &fault), quicktest.IsTrue, quicktest.Commentf("%v", err))
			quicktest.Check(t, fault.Kind, quicktest.Equals, test.kind, quicktest.Commentf("%v", err))
		})
	}
	_, err := conf.ParseEntry("entry.ini", nil)
	var faults *conf.FaultsError
	quicktest.Assert(t, errors.As(err, &faults), quicktest.IsTrue)
	quicktest.Check(t, len(faults.Faults) > 5, quicktest.IsTrue, quicktest.Commentf("%v", err))
}

// Guards against printed settings that differ from the effective ones or omit a key: they must parse to the same settings.
func TestShowEntry(t *testing.T) {
	text := strings.Replace(renderTemplate(t), "Descriptors = 4100", "Descriptors = 4100.5", 1)
	text = strings.Replace(text, "[Share]", "[Load]\nAllowedParts = 9b1d5d86714c532e, 0a\n[Share]", 1)
	settings, err := conf.ParseEntry("entry.ini", []byte(text))
	quicktest.Assert(t, err, quicktest.IsNil)
	shown, err := conf.ShowEntry("entry.ini", []byte(text))
	quicktest.Assert(t, err, quicktest.IsNil)
	again, err := conf.ParseEntry("shown.ini", []byte(shown))
	quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("%s", shown))
	quicktest.Check(t, reflect.DeepEqual(again, settings), quicktest.IsTrue, quicktest.Commentf("%s", shown))
	for _, line := range []string{"Name = front-1 ; entry.ini", "AllowedParts = 9b1d5d86714c532e,000000000000000a ; entry.ini", "Descriptors = 4100 ; entry.ini", "MostRefused = 0.95 ; default"} {
		quicktest.Check(t, strings.Contains(shown, line+"\n"), quicktest.IsTrue, quicktest.Commentf("%s in\n%s", line, shown))
	}
	quicktest.Check(t, strings.Contains(shown, "is not set"), quicktest.IsFalse, quicktest.Commentf("%s", shown))
	all, err := conf.ShowEntry("shown.ini", []byte(shown))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, strings.Contains(all, "default"), quicktest.IsFalse, quicktest.Commentf("%s", all))
	_, err = conf.ShowEntry("entry.ini", []byte("[Instance]\nName = a b\n"))
	var faults *conf.FaultsError
	quicktest.Check(t, errors.As(err, &faults), quicktest.IsTrue)
}

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/tools/soak"
)

// Guards against violated guarantees of real processes under injected faults. The command 'clementinewind soak' runs
// longer and with other seeds.
func TestSoak(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		folder := t.TempDir()
		report, err := soak.Run(t.Context(), soak.Config{
			Seed: seed, Duration: 8 * time.Second, Routers: 3, Binary: filepath.Join(binaryDir, "clementinewind"), Folder: folder,
			Out: t.Output(),
		})
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, report.Violations, quicktest.HasLen, 0, quicktest.Commentf("%v", report))
		quicktest.Check(t, report.Outcomes["200"] > 0, quicktest.IsTrue, quicktest.Commentf("%v", report))
	}
}

// Guards against a process that starts with invalid settings, and against an error that names only the first mistake.
func TestEntrySettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.ini")
	quicktest.Assert(t, os.WriteFile(file, []byte("[Instance]\nName = a b\n[Store]\nAddress = nowhere\n"), 0o600), quicktest.IsNil)
	for _, args := range [][]string{{"entry", "--config", file}, {"entry", "--print-settings", "--config", file}, {"check", "--entry", file}} {
		command := exec.Command(filepath.Join(binaryDir, "clementinewind"), args...)
		text, err := command.CombinedOutput()
		quicktest.Check(t, err, quicktest.IsNotNil)
		quicktest.Check(t, command.ProcessState.ExitCode(), quicktest.Equals, 2)
		for _, setting := range []string{"[Instance] Name", "[Instance] Zone", "[Store] Address", "[Listen] Caller"} {
			quicktest.Check(t, strings.Contains(string(text), setting), quicktest.IsTrue, quicktest.Commentf("%v: %s in %s", args, setting, text))
		}
	}
}

// Guards against a check command that differs from what the process accepts, and printed settings that can't be read back.
func TestPrintSettings(t *testing.T) {
	folder := t.TempDir()
	file, shown := filepath.Join(folder, "entry.ini"), filepath.Join(folder, "shown.ini")
	quicktest.Assert(t, os.WriteFile(file, fmt.Appendf(nil, entrySettings, "127.0.0.1", "127.0.0.1:9"), 0o600), quicktest.IsNil)
	program := filepath.Join(binaryDir, "clementinewind")
	text, err := exec.Command(program, "entry", "--print-settings", "--config", file).Output()
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, strings.Contains(string(text), "Grace = 2s ; "+file), quicktest.IsTrue, quicktest.Commentf("%s", text))
	quicktest.Assert(t, os.WriteFile(shown, text, 0o600), quicktest.IsNil)
	for _, name := range []string{file, shown} {
		text, err := exec.Command(program, "check", "--entry", name).CombinedOutput()
		quicktest.Check(t, err, quicktest.IsNil, quicktest.Commentf("%s", text))
	}
}

func TestExplainCommand(t *testing.T) {
	file := filepath.Join(t.TempDir(), "router.log")
	line := `18:11:41.090 [WARN]  rejected: Instance=r Request=8c Status=503 Reason=NoCapacity Late=0s RetryAfter=400ms Tried=0` + "\n"
	quicktest.Assert(t, os.WriteFile(file, []byte(line), 0o600), quicktest.IsNil)
	program := filepath.Join(binaryDir, "clementinewind")
	text, err := exec.Command(program, "explain", "8c", file).CombinedOutput()
	quicktest.Check(t, err, quicktest.IsNil)
	quicktest.Check(t, strings.Contains(string(text), "refused and has not run"), quicktest.IsTrue, quicktest.Commentf("%s", text))
	quicktest.Check(t, exec.Command(program, "explain", "unknown", file).Run(), quicktest.IsNotNil)
}

// Guards against an incident command that does not merge a folder of logs, writes no page, or accepts invalid times.
func TestIncidentCommand(t *testing.T) {
	folder := t.TempDir()
	for _, router := range []string{"r1", "r2"} {
		lines := "18:11:41.090 [INFO]  configuration in force: Instance=" + router + " Version=7\n" +
			"18:11:42.090 [WARN]  rejected: Instance=" + router + " Request=8c Status=503 Reason=NoCapacity\n"
		quicktest.Assert(t, os.WriteFile(filepath.Join(folder, router+".log"), []byte(lines), 0o600), quicktest.IsNil)
	}
	program, page := filepath.Join(binaryDir, "clementinewind"), filepath.Join(t.TempDir(), "page.html")
	text, err := exec.Command(program, "incident", "--from", "18:11", "--html", page, folder).CombinedOutput()
	quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("%s", text))
	quicktest.Check(t, strings.Contains(string(text), "2 routers  "), quicktest.IsTrue, quicktest.Commentf("%s", text))
	quicktest.Check(t, strings.Contains(string(text), "NoCapacity 2"), quicktest.IsTrue, quicktest.Commentf("%s", text))
	written, err := os.ReadFile(page)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, strings.Contains(string(written), "<svg"), quicktest.IsTrue)
	for _, args := range [][]string{{"incident"}, {"incident", "--from", "noon", folder}} {
		command := exec.Command(program, args...)
		quicktest.Check(t, command.Run(), quicktest.IsNotNil)
		quicktest.Check(t, command.ProcessState.ExitCode(), quicktest.Equals, 2, quicktest.Commentf("%v", args))
	}
}

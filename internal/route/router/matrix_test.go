package router_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// matrixFile is the fault matrix: a section for each fault with a table of steps and the tests that cover them.
const matrixFile = "../../../docs/faults.md"

var (
	steps = []string{
		"locate", "accept", "queue", "admit", "forward", "dispatch", "stream", "finish", "resume", "claim", "settings edit",
		"snapshot", "hand-over", "drain", "zone out", "zone in", "cold start",
	}
	// faultTestFiles are the files whose test functions must all be in the matrix.
	faultTestFiles = []string{"caller_test.go", "engine_test.go", "fault_test.go", "keys_test.go", "operator_test.go", "pair_test.go"}

	testName   = regexp.MustCompile("`([a-z]+\\.)?(Test[A-Za-z]+)(?:/([^`]+))?`")
	testFunc   = regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	unproved   = regexp.MustCompile(`not proved \((\d+)\)`)
	reasonItem = regexp.MustCompile(`(?m)^(\d+)\. \S`)
)

// Guards against a matrix that names tests that do not exist, leaves out a step or a test, or gives no reason for a gap.
func TestFaultMatrix(t *testing.T) {
	content, err := os.ReadFile(matrixFile)
	quicktest.Assert(t, err, quicktest.IsNil)
	text := string(content)
	named := map[string]bool{}
	for _, match := range testName.FindAllStringSubmatch(text, -1) {
		sources := sourcesOf(t, strings.TrimSuffix(match[1], "."))
		quicktest.Check(t, strings.Contains(sources, "func "+match[2]+"("), quicktest.IsTrue, quicktest.Commentf("%s", match[0]))
		if match[3] != "" {
			for part := range strings.SplitSeq(match[3], ", ") {
				quicktest.Check(t, strings.Contains(sources, `"`+part+`"`), quicktest.IsTrue, quicktest.Commentf("%s", match[0]))
			}
		}
		if match[1] == "" {
			named[match[2]] = true
		}
	}
	for _, file := range faultTestFiles {
		source, err := os.ReadFile(file)
		quicktest.Assert(t, err, quicktest.IsNil)
		for _, match := range testFunc.FindAllStringSubmatch(string(source), -1) {
			quicktest.Check(t, named[match[1]], quicktest.IsTrue, quicktest.Commentf("%s is not in the matrix", match[1]))
		}
	}
	reasons := map[string]bool{}
	for _, match := range reasonItem.FindAllStringSubmatch(text, -1) {
		reasons[match[1]] = true
	}
	for _, match := range unproved.FindAllStringSubmatch(text, -1) {
		quicktest.Check(t, reasons[match[1]], quicktest.IsTrue, quicktest.Commentf("no reason %s", match[1]))
	}
	faults := 0
	for _, section := range strings.Split(text, "\n### ")[1:] {
		name, table, _ := strings.Cut(section, "\n")
		table, _, _ = strings.Cut(table, "\n## ")
		checkSteps(t, name, table)
		faults++
	}
	quicktest.Check(t, faults, quicktest.Equals, 11)
}

// checkSteps checks that the table of a fault has each step once, with a test or the number of a reason.
func checkSteps(t *testing.T, fault, table string) {
	t.Helper()
	var found []string
	for line := range strings.Lines(table) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) != 4 || strings.Contains(cells[1], "---") || strings.TrimSpace(cells[1]) == "Steps" {
			continue
		}
		covered := testName.MatchString(cells[2]) || unproved.MatchString(cells[2])
		quicktest.Check(t, covered, quicktest.IsTrue, quicktest.Commentf("%s: %s", fault, line))
		for step := range strings.SplitSeq(cells[1], ",") {
			found = append(found, strings.TrimSpace(step))
		}
	}
	slices.Sort(found)
	want := slices.Sorted(slices.Values(steps))
	quicktest.Check(t, found, quicktest.DeepEquals, want, quicktest.Commentf("steps of %s", fault))
}

// sourcesOf returns the test files of a package, by default of this one.
func sourcesOf(t *testing.T, name string) string {
	t.Helper()
	patterns := []string{"*_test.go"}
	if name != "" {
		// Packages lie under internal/<area>/, commands under cmd/, and platform at the root.
		patterns = []string{"../../*/" + name + "/*_test.go", "../../../cmd/" + name + "/*_test.go", "../../../" + name + "/*_test.go"}
	}
	var files []string
	for _, pattern := range patterns {
		found, err := filepath.Glob(pattern)
		quicktest.Assert(t, err, quicktest.IsNil)
		files = append(files, found...)
	}
	var sources strings.Builder
	for _, file := range files {
		source, err := os.ReadFile(file)
		quicktest.Assert(t, err, quicktest.IsNil)
		sources.Write(source)
	}
	return sources.String()
}

package reply_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/share/reply"
)

func TestStatus(t *testing.T) {
	tests := map[int]struct{ interim, final bool }{
		0: {}, 99: {}, 100: {interim: true}, 101: {}, 103: {interim: true}, 199: {interim: true}, 200: {final: true}, 599: {final: true}, 600: {},
	}
	for status, test := range tests {
		quicktest.Check(t, reply.IsInterim(status), quicktest.Equals, test.interim, quicktest.Commentf("%d", status))
		quicktest.Check(t, reply.IsFinal(status), quicktest.Equals, test.final, quicktest.Commentf("%d", status))
	}
}

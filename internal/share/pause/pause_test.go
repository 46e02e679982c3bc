package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/share/pause"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		quicktest.Check(t, pause.For(t.Context(), time.Second), quicktest.IsNil)
		quicktest.Check(t, time.Since(start), quicktest.Equals, time.Second)
		quicktest.Check(t, pause.For(t.Context(), -time.Second), quicktest.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		quicktest.Check(t, pause.For(ctx, time.Hour), quicktest.ErrorIs, context.DeadlineExceeded)
		quicktest.Check(t, pause.For(ctx, 0), quicktest.ErrorIs, context.DeadlineExceeded)
		quicktest.Check(t, time.Since(start), quicktest.Equals, 2*time.Second)
	})
}

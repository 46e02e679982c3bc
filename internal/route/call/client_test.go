package call_test

import (
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/call"
	"github.com/clementinewind/clementinewind/internal/route/send"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
)

const bookingAddress = "booking:80"

// Guards against reporting a progress that contradicts what the service did, and against running a call twice.
func TestCallFaults(t *testing.T) {
	tests := map[string]struct {
		fault stand.Fault
		want  clementinewind.Progress
		runs  int
	}{
		"healthy":            {fault: stand.Fault{}, want: clementinewind.ProgressCompleted, runs: 1},
		"refused before run": {fault: stand.Fault{Kind: stand.FaultRefuse}, want: clementinewind.ProgressDeclined},
		"reset before run":   {fault: stand.Fault{Kind: stand.FaultResetEarly}, want: clementinewind.ProgressDispatched},
		"reply lost":         {fault: stand.Fault{Kind: stand.FaultReset}, want: clementinewind.ProgressDispatched, runs: 1},
		"reply cut":          {fault: stand.Fault{Kind: stand.FaultShort}, want: clementinewind.ProgressDispatched, runs: 1},
		"silent after run":   {fault: stand.Fault{Kind: stand.FaultSilence}, want: clementinewind.ProgressDispatched, runs: 1},
	}
	for name, test := range tests {
		for _, repeatable := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					network := stand.NewPipeNetwork()
					booking := stand.NewBooking(stand.BookingConfig{})
					defer network.Serve(bookingAddress, booking).Close()
					client := call.New(call.Config{Dial: network.Dial})
					defer client.Close()
					dispatched := 0
					request := call.Request{
						Address: bookingAddress, RequestID: clementinewind.NewRequestID(), Path: "/bookings",
						Body: []byte("seat 4"), Repeatable: repeatable,
						Dispatch: func() error {
							dispatched++
							return nil
						},
					}
					// The first call leaves an idle connection if it is repeatable; net/http retries on its own only on reused
					// connections.
					_, err := client.Call(t.Context(), request)
					quicktest.Assert(t, err, quicktest.IsNil)
					request.RequestID = clementinewind.NewRequestID()
					booking.Inject(test.fault)
					response, err := client.Call(t.Context(), request)
					progress := clementinewind.ProgressCompleted
					if err != nil {
						progress = send.ProgressOf(err)
					} else {
						quicktest.Assert(t, string(response.Body), quicktest.Equals,
							string(stand.BookingAnswer("/bookings", request.Body)))
					}
					quicktest.Assert(t, progress, quicktest.Equals, test.want, quicktest.Commentf("%v", err))
					quicktest.Assert(t, booking.RunTotals(request.RequestID).Runs, quicktest.Equals, test.runs)
					quicktest.Assert(t, dispatched, quicktest.Equals, 2)
				})
			})
		}
	}
}

// Guards against sending a non-repeatable call over an idle connection that went silent, which would make its outcome
// unknown. The repeatable call shows that the idle connection is indeed silent.
func TestSilentIdleConnection(t *testing.T) {
	tests := map[string]struct {
		repeatable bool
		want       clementinewind.Progress
	}{
		"non-repeatable": {want: clementinewind.ProgressCompleted},
		"repeatable":     {repeatable: true, want: clementinewind.ProgressDispatched},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := stand.NewPipeNetwork()
				defer network.Serve(bookingAddress, stand.NewBooking(stand.BookingConfig{})).Close()
				client := call.New(call.Config{Dial: network.Dial})
				defer client.Close()
				// A request has between 200 and 400 bytes, so the first one on the connection arrives and the second is lost.
				network.Inject(stand.ConnectionFault{SilentAfterWritten: 400})
				request := call.Request{Address: bookingAddress, Path: "/bookings", Body: []byte("seat 4"), Repeatable: true}
				_, err := client.Call(t.Context(), request)
				quicktest.Assert(t, err, quicktest.IsNil)
				request.Repeatable = test.repeatable
				progress := clementinewind.ProgressCompleted
				if _, err := client.Call(t.Context(), request); err != nil {
					progress = send.ProgressOf(err)
				}
				quicktest.Assert(t, progress, quicktest.Equals, test.want)
			})
		})
	}
}

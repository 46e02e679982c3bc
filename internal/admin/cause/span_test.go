package cause_test

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/admin/cause"
)

// incidentLog returns the log of one router: a configuration change in second 10, a lost peer in second 20, overload from
// second 20 on, and a lost dependency in second 31.
func incidentLog(router int) string {
	var text strings.Builder
	write := func(second int, message, fields string) {
		fmt.Fprintf(&text, "12:00:%02d.%03d [INFO]  %s: Instance=router-%d %s\n", second, router, message, router, fields)
	}
	for second := range 30 {
		switch second {
		case 10:
			write(second, "configuration in force", "Version=8 Offset=12")
		case 20:
			write(second, "peer lost", "Peer=router-999 Age=2.1s")
		}
		write(second, "placed", "Request=a Upstream=u")
		write(second, "ended", "Request=a Outcome=Answered Detail=200")
		if second >= 20 {
			write(second, "rejected", "Request=b Status=503 Reason=Busy")
			write(second, "answer broken off", `Request=c Events=7 Detail="<script>"`)
		}
	}
	write(31, "dependency lost", `Dependency=operators Error="<b>no answer</b>"`)
	return text.String()
}

func readIncident(t *testing.T, from, to string) *cause.Timeline {
	t.Helper()
	timeline := &cause.Timeline{}
	for text, at := range map[string]*time.Time{from: &timeline.From, to: &timeline.To} {
		if text == "" {
			continue
		}
		parsed, err := cause.ParseTime(text)
		quicktest.Assert(t, err, quicktest.IsNil)
		*at = parsed
	}
	for router := range 300 {
		quicktest.Assert(t, timeline.ReadLog(strings.NewReader(incidentLog(router))), quicktest.IsNil)
	}
	return timeline
}

// Guards against a time line that repeats an event for each of hundreds of routers, miscounts the routers that logged it,
// or counts requests twice.
func TestTimelineOfManyRouters(t *testing.T) {
	timeline := readIncident(t, "", "")
	events := timeline.Events()
	quicktest.Assert(t, events, quicktest.HasLen, 3)
	quicktest.Check(t, events[0].Message, quicktest.Equals, "configuration in force")
	quicktest.Check(t, events[0].Detail, quicktest.Equals, "Version=8")
	quicktest.Check(t, events[0].Routers, quicktest.Equals, 300)
	quicktest.Check(t, events[1].Detail, quicktest.Equals, "Peer=router-999")
	seconds := timeline.Seconds()
	quicktest.Assert(t, seconds, quicktest.HasLen, 30)
	quicktest.Check(t, seconds[5].Outcomes, quicktest.DeepEquals, map[string]int{"Answered": 300})
	quicktest.Check(t, seconds[25].Outcomes, quicktest.DeepEquals, map[string]int{"Answered": 300, "Busy": 300, "BrokenOff": 300})
	quicktest.Check(t, timeline.Outcomes(), quicktest.DeepEquals, []string{"Answered", "BrokenOff", "Busy"})
}

// Guards against lines outside the time bounds that are counted, and against invalid bounds that are accepted.
func TestTimelineBounds(t *testing.T) {
	timeline := readIncident(t, "12:00:15", "12:00:25.000")
	quicktest.Check(t, timeline.Events(), quicktest.HasLen, 1)
	quicktest.Check(t, timeline.Seconds(), quicktest.HasLen, 10)
	quicktest.Check(t, readIncident(t, "13:00", "").Seconds(), quicktest.HasLen, 0)
	for _, text := range []string{"", "noon", "25:00:00"} {
		_, err := cause.ParseTime(text)
		quicktest.Check(t, err, quicktest.IsNotNil, quicktest.Commentf("%q", text))
	}
}

// Guards against missing events in the output, log text that is not escaped in HTML, and an invalid SVG plot.
func TestTimelineOutput(t *testing.T) {
	timeline := readIncident(t, "", "")
	var text, page bytes.Buffer
	quicktest.Assert(t, timeline.Write(&text), quicktest.IsNil)
	for _, want := range []string{"configuration in force", "Version=8", "300 routers", "Answered 300, BrokenOff 300, Busy 300", "dependency lost"} {
		quicktest.Check(t, strings.Contains(text.String(), want), quicktest.IsTrue, quicktest.Commentf("%s in\n%s", want, text.String()))
	}
	quicktest.Assert(t, timeline.WriteHTML(&page, "Outage <1>"), quicktest.IsNil)
	quicktest.Check(t, strings.Contains(page.String(), "<b>no answer"), quicktest.IsFalse)
	quicktest.Check(t, strings.Contains(page.String(), "Outage &lt;1&gt;"), quicktest.IsTrue)
	start, end := strings.Index(page.String(), "<svg"), strings.Index(page.String(), "</svg>")
	quicktest.Assert(t, start > 0 && end > start, quicktest.IsTrue)
	decoder := xml.NewDecoder(strings.NewReader(page.String()[start : end+len("</svg>")]))
	for {
		if _, err := decoder.Token(); err == io.EOF {
			break
		} else if err != nil {
			t.Fatalf("plot: %v", err)
		}
	}
	var empty cause.Timeline
	quicktest.Check(t, empty.WriteHTML(io.Discard, "nothing"), quicktest.IsNil)
}

// Guards against an incomplete time line that looks complete because a log that could not be read was ignored.
func TestTimelineReadError(t *testing.T) {
	var timeline cause.Timeline
	quicktest.Check(t, timeline.ReadPath(t.TempDir()+"/none"), quicktest.IsNotNil)
}

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

// incidentLog is the log of one of many routers around a change of the configuration and a flood.
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

func incident(t *testing.T, from, to string) *cause.Timeline {
	t.Helper()
	span := &cause.Timeline{}
	for text, at := range map[string]*time.Time{from: &span.From, to: &span.To} {
		if text == "" {
			continue
		}
		parsed, err := cause.ParseTime(text)
		quicktest.Assert(t, err, quicktest.IsNil)
		*at = parsed
	}
	for router := range 300 {
		quicktest.Assert(t, span.ReadLog(strings.NewReader(incidentLog(router))), quicktest.IsNil)
	}
	return span
}

// Guards against a report that has a line for each of hundreds of routers, that counts requests twice, and that misses how many
// routers saw an event.
func TestSpanOfManyRouters(t *testing.T) {
	span := incident(t, "", "")
	events := span.Events()
	quicktest.Assert(t, events, quicktest.HasLen, 3)
	quicktest.Check(t, events[0].Message, quicktest.Equals, "configuration in force")
	quicktest.Check(t, events[0].Detail, quicktest.Equals, "Version=8")
	quicktest.Check(t, events[0].Routers, quicktest.Equals, 300)
	quicktest.Check(t, events[1].Detail, quicktest.Equals, "Peer=router-999")
	seconds := span.Seconds()
	quicktest.Assert(t, seconds, quicktest.HasLen, 30)
	quicktest.Check(t, seconds[5].Outcomes, quicktest.DeepEquals, map[string]int{"Answered": 300})
	quicktest.Check(t, seconds[25].Outcomes, quicktest.DeepEquals, map[string]int{"Answered": 300, "Busy": 300, "BrokenOff": 300})
	quicktest.Check(t, span.Outcomes(), quicktest.DeepEquals, []string{"Answered", "BrokenOff", "Busy"})
}

// Guards against lines outside of the span, and against bounds that are read wrongly.
func TestSpanBounds(t *testing.T) {
	span := incident(t, "12:00:15", "12:00:25.000")
	quicktest.Check(t, span.Events(), quicktest.HasLen, 1)
	quicktest.Check(t, span.Seconds(), quicktest.HasLen, 10)
	quicktest.Check(t, incident(t, "13:00", "").Seconds(), quicktest.HasLen, 0)
	for _, text := range []string{"", "noon", "25:00:00"} {
		_, err := cause.ParseTime(text)
		quicktest.Check(t, err, quicktest.IsNotNil, quicktest.Commentf("%q", text))
	}
}

// Guards against reports that leave out events, and against text of a log that becomes part of the page.
func TestSpanReports(t *testing.T) {
	span := incident(t, "", "")
	var text, page bytes.Buffer
	quicktest.Assert(t, span.Write(&text), quicktest.IsNil)
	for _, want := range []string{"configuration in force", "Version=8", "300 routers", "Answered 300, BrokenOff 300, Busy 300", "dependency lost"} {
		quicktest.Check(t, strings.Contains(text.String(), want), quicktest.IsTrue, quicktest.Commentf("%s in\n%s", want, text.String()))
	}
	quicktest.Assert(t, span.WriteHTML(&page, "Outage <1>"), quicktest.IsNil)
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

// Guards against a report that is thought complete though a log of the span could not be read.
func TestSpanFaults(t *testing.T) {
	var span cause.Timeline
	quicktest.Check(t, span.ReadPath(t.TempDir()+"/none"), quicktest.IsNotNil)
}

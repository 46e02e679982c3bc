package cause_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/admin/cause"
)

// routerLog returns the log of a router with a number of other requests and, if id is not empty, one failed request in the
// middle.
func routerLog(instance, id string, requests int) string {
	var text strings.Builder
	write := func(at int, message, fields string) {
		fmt.Fprintf(&text, "%02d:%02d:%02d.000 [INFO]  %s: Instance=%s %s\n", at/3600%24, at/60%60, at%60, message, instance, fields)
	}
	for number := range requests {
		at := 3600 + number/100
		if number%1000 == 0 {
			write(at, "upstream changed", fmt.Sprintf("Upstream=u%d Leaving=false", number%7))
		}
		write(at, "placed", fmt.Sprintf("Request=other-%d Upstream=u1", number))
		write(at, "ended", fmt.Sprintf("Request=other-%d Outcome=Answered Detail=200", number))
		if number == requests/2 && id != "" {
			write(at, "placed", "Request="+id+" Upstream=u2")
			write(at+1, "upstream gone", "Upstream=u2 Cause=deleted")
			write(at+2, "stream broke off", "Request="+id+` Upstream=u2 Deadline=false Error="unexpected EOF"`)
			write(at+3, "answer broken off", "Request="+id+" Events=7")
		}
	}
	return text.String()
}

// Guards against a request that is not found or only partly explained because the logs are in subdirectories, compressed,
// or written by many routers.
func TestSearchFindsRequest(t *testing.T) {
	folder := t.TempDir()
	quicktest.Assert(t, os.Mkdir(filepath.Join(folder, "below"), 0o700), quicktest.IsNil)
	for number := range 20 {
		name, id := filepath.Join(folder, fmt.Sprintf("router-%d.log", number)), ""
		if number == 13 {
			id = "abc"
		}
		content := []byte(routerLog(fmt.Sprintf("router-%d", number), id, 2000))
		if number%2 == 1 {
			var packed bytes.Buffer
			writer := gzip.NewWriter(&packed)
			_, err := writer.Write(content)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, writer.Close(), quicktest.IsNil)
			name, content = filepath.Join(folder, "below", filepath.Base(name)+".gz"), packed.Bytes()
		}
		quicktest.Assert(t, os.WriteFile(name, content, 0o600), quicktest.IsNil)
	}
	search := cause.Search{Request: "abc"}
	quicktest.Assert(t, search.ReadPath(folder), quicktest.IsNil)
	report, found := cause.Explain(search.Lines(), "abc")
	quicktest.Assert(t, found, quicktest.IsTrue)
	quicktest.Check(t, report.Cause, quicktest.Equals, "The stream was cut after 7 events because upstream u2 broke it off: unexpected EOF.")
	var messages []string
	for _, line := range report.Lines {
		messages = append(messages, line.Message)
		quicktest.Check(t, line.Instance(), quicktest.Equals, "router-13")
	}
	quicktest.Check(t, messages, quicktest.DeepEquals, []string{"placed", "upstream gone", "stream broke off", "answer broken off"})
}

// Guards against read errors that are ignored: a missing file and a truncated gzip file.
func TestSearchReadErrors(t *testing.T) {
	search := cause.Search{Request: "abc"}
	quicktest.Check(t, search.ReadPath(filepath.Join(t.TempDir(), "none")), quicktest.ErrorIs, os.ErrNotExist)
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, err := io.WriteString(writer, routerLog("router-1", "abc", 100))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, writer.Close(), quicktest.IsNil)
	err = search.ReadLog(bytes.NewReader(packed.Bytes()[:packed.Len()/2]))
	quicktest.Check(t, err, quicktest.ErrorIs, io.ErrUnexpectedEOF)
}

// repeatReader reads a text a number of times in a row.
type repeatReader struct {
	text        []byte
	times, read int
}

func (repeatReader *repeatReader) Read(buffer []byte) (int, error) {
	if repeatReader.times == 0 {
		return 0, io.EOF
	}
	count := copy(buffer, repeatReader.text[repeatReader.read:])
	if repeatReader.read += count; repeatReader.read == len(repeatReader.text) {
		repeatReader.read, repeatReader.times = 0, repeatReader.times-1
	}
	return count, nil
}

// BenchmarkSearch searches 1 GiB of logs for one request. It has to stay below one minute, with memory that does not grow
// with the logs.
func BenchmarkSearch(b *testing.B) {
	const size = 1 << 30
	text := []byte(routerLog("router-1", "", 200_000))
	b.SetBytes(size)
	b.ReportAllocs()
	for b.Loop() {
		search := cause.Search{Request: "abc"}
		logs := io.MultiReader(&repeatReader{text: text, times: size / len(text)}, strings.NewReader(routerLog("router-1", "abc", 10)))
		if err := search.ReadLog(logs); err != nil {
			b.Fatal(err)
		}
		if _, found := cause.Explain(search.Lines(), "abc"); !found {
			b.Fatal("request not found")
		}
	}
}

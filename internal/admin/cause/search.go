package cause

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

const (
	// beliefsKept bounds the lines without a request that are kept from before the request is first named in a log, and beliefsRead
	// those after it. A router writes at most a few hundred of them in the time that a report covers.
	beliefsKept = 4096
	beliefsRead = 16384
)

var (
	requestField = []byte(" Request=")
	gzipMagic    = []byte{0x1f, 0x8b}
)

// Search reads what a report about one request needs from logs of any size, in bounded memory.
type Search struct {
	// Request is the id of the request.
	Request string

	lines []Line
}

// Lines returns what was found, for Explain.
func (search *Search) Lines() []Line { return search.lines }

// Path reads a file, or all files of a directory and those below it. Compressed files are recognised by their content.
func (search *Search) Path(name string) error {
	return filepath.WalkDir(name, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return errors.Wrap(err, "find logs")
		}
		if entry.IsDir() {
			return nil
		}
		return search.file(path)
	})
}

func (search *Search) file(name string) (err error) {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = errors.Wrap(closeErr, "close log")
		}
	}()
	return errors.Wrapf(search.Reader(file), "log %s", name)
}

// Reader reads one log, plain or compressed with gzip. A line above 1 MiB is an error.
func (search *Search) Reader(reader io.Reader) error {
	buffered := bufio.NewReader(reader)
	var source io.Reader = buffered
	if magic, err := buffered.Peek(len(gzipMagic)); err == nil && bytes.Equal(magic, gzipMagic) {
		unpacked, err := gzip.NewReader(buffered)
		if err != nil {
			return errors.Wrap(err, "read compressed log")
		}
		source = unpacked
	}
	kept := &recent{size: beliefsKept}
	named, after := false, 0
	id := []byte(search.Request)
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		if bytes.Contains(text, requestField) {
			if !bytes.Contains(text, id) {
				continue
			}
			if line, ok := parse(string(text)); ok && line.Fields["Request"] == search.Request {
				if !named {
					named = true
					search.lines = append(search.lines, kept.lines()...)
				}
				search.lines = append(search.lines, line)
			}
			continue
		}
		switch {
		case !named:
			kept.add(text)
		case after < beliefsRead:
			after++
			if line, ok := parse(string(text)); ok {
				search.lines = append(search.lines, line)
			}
		}
	}
	return errors.Wrap(scanner.Err(), "read log")
}

// recent keeps the latest lines.
type recent struct {
	size  int
	texts [][]byte
	next  int
}

func (recent *recent) add(text []byte) {
	if len(recent.texts) < recent.size {
		recent.texts = append(recent.texts, bytes.Clone(text))
		return
	}
	recent.texts[recent.next] = append(recent.texts[recent.next][:0], text...)
	recent.next = (recent.next + 1) % recent.size
}

// lines returns what is kept in order, without what is no line of a log.
func (recent *recent) lines() []Line {
	var lines []Line
	for number := range recent.texts {
		if line, ok := parse(string(recent.texts[(recent.next+number)%len(recent.texts)])); ok {
			lines = append(lines, line)
		}
	}
	return lines
}

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

// ReadPath reads a file, or all files of a directory and those below it. Compressed files are recognised by their content.
func (search *Search) ReadPath(name string) error { return walk(name, search.ReadLog) }

// walk reads a file, or all files below a directory.
func walk(name string, read func(reader io.Reader) error) error {
	return filepath.WalkDir(name, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return errors.Wrap(err, "find logs")
		}
		if entry.IsDir() {
			return nil
		}
		return readFile(path, read)
	})
}

func readFile(name string, read func(reader io.Reader) error) (err error) {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = errors.Wrap(closeErr, "close log")
		}
	}()
	return errors.Wrapf(read(file), "log %s", name)
}

// unpacked returns the text of a log that may be compressed with gzip.
func unpacked(buffered *bufio.Reader) (io.Reader, error) {
	magic, err := buffered.Peek(len(gzipMagic))
	if err != nil || !bytes.Equal(magic, gzipMagic) {
		// A log that is too short for the magic, or cannot be read, is read as it is.
		return buffered, nil
	}
	unpacked, err := gzip.NewReader(buffered)
	return unpacked, errors.Wrap(err, "read compressed log")
}

// ReadLog reads one log, plain or compressed with gzip. A line above 1 MiB is an error.
func (search *Search) ReadLog(reader io.Reader) error {
	kept := &recent{size: beliefsKept}
	named, after := false, 0
	id := []byte(search.Request)
	return scan(reader, func(text []byte) {
		if bytes.Contains(text, requestField) {
			if !bytes.Contains(text, id) {
				return
			}
			if line, ok := parse(string(text)); ok && line.Fields["Request"] == search.Request {
				if !named {
					named = true
					search.lines = append(search.lines, kept.lines()...)
				}
				search.lines = append(search.lines, line)
			}
			return
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
	})
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

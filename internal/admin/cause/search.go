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
	// maxContextBefore and maxContextAfter bound the lines without a request that are kept of one log before and after the
	// first line of the request. A router writes at most a few hundred of them in the time that a report covers.
	maxContextBefore = 4096
	maxContextAfter  = 16384
)

var (
	requestField = []byte(" Request=")
	gzipMagic    = []byte{0x1f, 0x8b}
)

// Search collects the lines that explain one request from logs of any size, in bounded memory.
type Search struct {
	// Request is the request ID.
	Request string

	lines []Line
}

// Lines returns the collected lines, the input of Explain.
func (search *Search) Lines() []Line { return search.lines }

// ReadPath reads a file, or all files of a directory tree. Files compressed with gzip are recognised by their content.
func (search *Search) ReadPath(name string) error { return readLogs(name, search.ReadLog) }

// readLogs calls read with a file, or with each file of a directory tree.
func readLogs(name string, read func(reader io.Reader) error) error {
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

// decompress returns the text of a log, plain or compressed with gzip.
func decompress(buffered *bufio.Reader) (io.Reader, error) {
	magic, err := buffered.Peek(len(gzipMagic))
	if err != nil || !bytes.Equal(magic, gzipMagic) {
		// A log shorter than the magic number is plain text; a read error is returned again by the next read.
		return buffered, nil
	}
	decompressed, err := gzip.NewReader(buffered)
	return decompressed, errors.Wrap(err, "read compressed log")
}

// ReadLog reads one log, plain or compressed with gzip. A line above 1 MiB is an error.
func (search *Search) ReadLog(reader io.Reader) error {
	before := &lineRing{capacity: maxContextBefore}
	found, afterCount := false, 0
	id := []byte(search.Request)
	return scanLines(reader, func(text []byte) {
		if bytes.Contains(text, requestField) {
			if !bytes.Contains(text, id) {
				return
			}
			if line, ok := parseLine(string(text)); ok && line.Fields["Request"] == search.Request {
				if !found {
					found = true
					search.lines = append(search.lines, before.lines()...)
				}
				search.lines = append(search.lines, line)
			}
			return
		}
		switch {
		case !found:
			before.add(text)
		case afterCount < maxContextAfter:
			afterCount++
			if line, ok := parseLine(string(text)); ok {
				search.lines = append(search.lines, line)
			}
		}
	})
}

// lineRing is a ring buffer of the latest lines.
type lineRing struct {
	capacity int
	texts    [][]byte
	next     int
}

func (lineRing *lineRing) add(text []byte) {
	if len(lineRing.texts) < lineRing.capacity {
		lineRing.texts = append(lineRing.texts, bytes.Clone(text))
		return
	}
	lineRing.texts[lineRing.next] = append(lineRing.texts[lineRing.next][:0], text...)
	lineRing.next = (lineRing.next + 1) % lineRing.capacity
}

// lines returns the buffered lines, oldest first, without text that is not a log line.
func (lineRing *lineRing) lines() []Line {
	var lines []Line
	for i := range lineRing.texts {
		if line, ok := parseLine(string(lineRing.texts[(lineRing.next+i)%len(lineRing.texts)])); ok {
			lines = append(lines, line)
		}
	}
	return lines
}

package explainer

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"sort"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/identifier"
)

const (
	// around is how long before a request came, and after it ended, other lines are of
	// interest.
	around = 2 * time.Second
	// longestLine is the longest line that is read, in bytes.
	longestLine = 1 << 20
)

// History is what the logs tell of one request.
type History struct {
	Request identifier.Request
	// Lines are the request's own, the oldest first.
	Lines []Line
	// Meanwhile are the other lines of the routers that had it, the oldest first.
	Meanwhile []Line
	// Records say how the other requests ended that were sent to its targets in that
	// time, at all routers, by target and ending.
	Records map[identifier.Target]map[string]int
	// LeftOut is how many lines its routers left out meanwhile. Of a request without
	// lines it is how many all routers left out.
	LeftOut int
}

// Read reads the history of a request from log files. They are read twice: what is of
// interest beside the request's own lines depends on these.
func Read(id identifier.Request, files []string) (*History, error) {
	h := &History{Request: id, Records: map[identifier.Target]map[string]int{}}
	name := []byte(id)
	err := scan(files, func(raw []byte, file string) {
		if !bytes.Contains(raw, name) {
			return
		}
		if l, ok := parse(raw, file); ok && l.Request == id {
			h.Lines = append(h.Lines, l)
		}
	})
	if err != nil {
		return nil, err
	}
	sort.SliceStable(h.Lines, func(i, j int) bool { return h.Lines[i].At.Before(h.Lines[j].At) })
	s := h.surroundings()
	err = scan(files, func(raw []byte, file string) {
		if l, ok := parse(raw, file); ok {
			s.note(h, l)
		}
	})
	sort.SliceStable(h.Meanwhile, func(i, j int) bool { return h.Meanwhile[i].At.Before(h.Meanwhile[j].At) })
	return h, err
}

// scan hands on each line of some files, with the file's name.
func scan(files []string, each func(raw []byte, file string)) error {
	for _, file := range files {
		if err := scanFile(file, each); err != nil {
			return errors.Wrapf(err, "read log %s", file)
		}
	}
	return nil
}

func scanFile(file string, each func(raw []byte, file string)) error {
	f, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "open")
	}
	defer func() { _ = f.Close() }()
	return scanLines(f, func(raw []byte) { each(raw, file) })
}

// scanLines hands on each line. One that is longer than longestLine is left out.
func scanLines(r io.Reader, each func(raw []byte)) error {
	br := bufio.NewReaderSize(r, longestLine)
	for long := false; ; {
		raw, err := br.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			long = true
			continue
		}
		if len(raw) > 0 && !long {
			each(raw)
		}
		long = false
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// surroundings are what to look for beside a request's own lines.
type surroundings struct {
	from, to time.Time
	routers  map[string]bool
	targets  map[identifier.Target]bool
}

func (h *History) surroundings() surroundings {
	s := surroundings{routers: map[string]bool{}, targets: map[identifier.Target]bool{}}
	for i := range h.Lines {
		l := &h.Lines[i]
		s.routers[l.Router] = true
		if at := l.arrived(); s.from.IsZero() || at.Before(s.from) {
			s.from = at
		}
		if l.At.After(s.to) {
			s.to = l.At
		}
		for _, t := range l.tried {
			s.targets[t] = true
		}
	}
	s.from, s.to = s.from.Add(-around), s.to.Add(around)
	return s
}

// note keeps a line that tells something about the request.
func (s *surroundings) note(h *History, l Line) {
	if len(h.Lines) == 0 {
		h.LeftOut += l.LinesLost
		return
	}
	if l.Request == h.Request || l.At.Before(s.from) || l.At.After(s.to) {
		return
	}
	if l.Message == msgEnded {
		s.record(h, &l)
		return
	}
	if l.Request != "" || !s.routers[l.Router] {
		return
	}
	h.LeftOut += l.LinesLost
	h.Meanwhile = append(h.Meanwhile, l)
}

// record counts how another request ended whose last target was one of this one's.
func (s *surroundings) record(h *History, l *Line) {
	if len(l.tried) == 0 {
		return
	}
	t := l.tried[len(l.tried)-1]
	if !s.targets[t] {
		return
	}
	if h.Records[t] == nil {
		h.Records[t] = map[string]int{}
	}
	h.Records[t][l.Ending]++
}

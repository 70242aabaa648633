package hatchaudit

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// waitingLines bounds the lines that wait to be written.
	waitingLines = 1024
	// linesPerSecond bounds what is written; a daemon writes some tens of lines a
	// second at its usual load.
	linesPerSecond = 400
)

// LineWriter passes lines of a log on without ever keeping the caller waiting:
// what a slow reader does not take, and what is beyond the bound of a second, is
// left out and counted.
type LineWriter struct {
	lines   chan []byte
	leftOut atomic.Int64
	second  atomic.Int64 // that the count below belongs to
	written atomic.Int64
	epoch   time.Time
}

// NewLineWriter returns a writer that passes lines on to out.
func NewLineWriter(out io.Writer) *LineWriter {
	writer := &LineWriter{lines: make(chan []byte, waitingLines), epoch: time.Now()}
	go writer.pass(out)
	return writer
}

// Write takes one line and never fails.
func (writer *LineWriter) Write(line []byte) (int, error) {
	if !writer.allowed(time.Now()) {
		writer.leftOut.Add(1)
		return len(line), nil
	}
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.leftOut.Add(1)
	}
	return len(line), nil
}

// allowed says whether the second has room for one more line.
func (writer *LineWriter) allowed(now time.Time) bool {
	second := int64(now.Sub(writer.epoch) / time.Second)
	if old := writer.second.Load(); old != second && writer.second.CompareAndSwap(old, second) {
		writer.written.Store(0)
	}
	return writer.written.Add(1) <= linesPerSecond
}

func (writer *LineWriter) pass(out io.Writer) {
	for line := range writer.lines {
		if left := writer.leftOut.Swap(0); left > 0 {
			line = append(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log lines left out\",\"count\":%d}\n", left), line...)
		}
		// A log that nobody takes has nowhere to say so.
		_, _ = out.Write(line)
	}
}

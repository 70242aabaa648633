package hatchaudit

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines that may wait to be written.
	maxQueuedLines = 1024
	// maxLinesPerSecond is the rate limit of written lines. A daemon under its usual
	// load writes some tens of lines a second.
	maxLinesPerSecond = 400
)

// LineWriter writes log lines in the background, so that Write never blocks. Lines
// beyond the rate limit are dropped and counted, and so are lines that find the queue
// full because the output is slow.
type LineWriter struct {
	lines     chan []byte
	flushes   chan chan<- struct{} // closed once the lines queued before are written
	dropped   atomic.Int64
	second    atomic.Int64 // the second since epoch that lineCount belongs to
	lineCount atomic.Int64 // lines counted against the rate limit in that second
	epoch     time.Time
}

// NewLineWriter returns a writer that writes to out.
func NewLineWriter(out io.Writer) *LineWriter {
	writer := &LineWriter{lines: make(chan []byte, maxQueuedLines), flushes: make(chan chan<- struct{}), epoch: time.Now()}
	go writer.writeLines(out)
	return writer
}

// Write queues or drops one line. It never blocks or fails.
func (writer *LineWriter) Write(line []byte) (int, error) {
	if !writer.allowLine(time.Now()) {
		writer.dropped.Add(1)
		return len(line), nil
	}
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// allowLine reports whether the rate limit allows one more line.
func (writer *LineWriter) allowLine(now time.Time) bool {
	second := int64(now.Sub(writer.epoch) / time.Second)
	if old := writer.second.Load(); old != second && writer.second.CompareAndSwap(old, second) {
		writer.lineCount.Store(0)
	}
	return writer.lineCount.Add(1) <= maxLinesPerSecond
}

// Flush waits until the lines queued so far are written, but no longer than the timeout:
// the output may be blocked. Without it a process loses its last lines when it exits.
func (writer *LineWriter) Flush(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	written := make(chan struct{})
	select {
	case writer.flushes <- written:
	case <-timer.C:
		return
	}
	select {
	case <-written:
	case <-timer.C:
	}
}

func (writer *LineWriter) writeLines(out io.Writer) {
	for {
		select {
		case line := <-writer.lines:
			writer.writeLine(out, line)
		case written := <-writer.flushes:
			for range len(writer.lines) {
				writer.writeLine(out, <-writer.lines)
			}
			close(written)
		}
	}
}

func (writer *LineWriter) writeLine(out io.Writer, line []byte) {
	if count := writer.dropped.Swap(0); count > 0 {
		line = append(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", count), line...)
	}
	// An error is ignored: there is no other log to report it to.
	_, _ = out.Write(line)
}

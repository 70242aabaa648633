package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	return &record{file: file, started: time.Now()}, err
}

// printf writes a line with the seconds since the start.
func (record *record) printf(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, args...))
}

// verdict writes a line to the record and to standard output.
func (record *record) verdict(format string, args ...any) {
	record.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runTimeout ends a case that hangs. A case may take 120 s.
const runTimeout = 110 * time.Second

// testCase runs a case. It returns whether the rule was broken, or an error if the case
// could not run.
type testCase func(run *run) (broken bool, err error)

var cases = map[string]testCase{
	"lost-lease":   runLostLease,
	"first-events": runFirstEvents,
	"slow-streams": runSlowStreams,
}

// run is one run of a case.
type run struct {
	temp    string // folder for settings and logs
	trouble bool   // the disruption takes place
	record  *record

	mu      sync.Mutex
	started []*os.Process
}

func main() {
	os.Exit(runMain(os.Args[1:]))
}

func runMain(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		return exitNotRun
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(temp)
	record, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	run := &run{temp: temp, trouble: os.Getenv("TROUBLE") != "0", record: record}
	defer run.killAll()

	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := cases[args[0]](run)
		results <- result{broken, err}
	}()
	select {
	case result := <-results:
		switch {
		case result.err != nil:
			record.printf("the case could not run: %v", result.err)
			return exitNotRun
		case result.broken:
			record.printf("the rule was broken")
			return exitBroken
		}
		record.printf("the rule held")
		return exitHeld
	case signal := <-interrupts:
		record.printf("the case could not run: %s", signal)
	case <-time.After(runTimeout):
		record.printf("the case could not run: it took longer than %s", runTimeout)
	}
	return exitNotRun
}

// addProcess records a process to be killed at the end of the run.
func (run *run) addProcess(process *os.Process) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.started = append(run.started, process)
}

// killAll kills the processes of the run that have not ended.
func (run *run) killAll() {
	run.mu.Lock()
	defer run.mu.Unlock()
	for _, process := range run.started {
		_ = process.Kill() // fails if it has ended
	}
}

// record writes record.txt, each line with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (record *record) printf(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(record.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(record.file, line)
	fmt.Println(line)
}

func (record *record) close() {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.file.Close()
}

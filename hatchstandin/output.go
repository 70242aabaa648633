package hatchstandin

import (
	"bytes"
	"sync"
)

// Output buffers what a daemon under test writes; several goroutines may write
// and read it. The zero value is an empty buffer.
type Output struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends data to the buffer.
func (output *Output) Write(data []byte) (int, error) {
	output.mu.Lock()
	defer output.mu.Unlock()
	return output.buffer.Write(data)
}

// String returns everything written so far.
func (output *Output) String() string {
	output.mu.Lock()
	defer output.mu.Unlock()
	return output.buffer.String()
}

package hatchstandin

import (
	"bytes"
	"sync"
)

// OutputBuffer buffers what a daemon under test writes; several goroutines may write
// and read it. The zero value is an empty buffer.
type OutputBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends data to the buffer.
func (output *OutputBuffer) Write(data []byte) (int, error) {
	output.mu.Lock()
	defer output.mu.Unlock()
	return output.buffer.Write(data)
}

// String returns everything written so far.
func (output *OutputBuffer) String() string {
	output.mu.Lock()
	defer output.mu.Unlock()
	return output.buffer.String()
}

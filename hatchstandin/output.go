package hatchstandin

import (
	"bytes"
	"sync"
)

// Output is what a daemon under test has written; several goroutines may write
// and read it. The zero value is empty.
type Output struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write adds to the output.
func (output *Output) Write(data []byte) (int, error) {
	output.mu.Lock()
	defer output.mu.Unlock()
	return output.buffer.Write(data)
}

// String returns all that was written.
func (output *Output) String() string {
	output.mu.Lock()
	defer output.mu.Unlock()
	return output.buffer.String()
}

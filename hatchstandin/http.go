package hatchstandin

import (
	"encoding/json"
	"net/http"
	"time"
)

// maxBody bounds what a stand-in reads of one request, in bytes.
const maxBody = 4 << 20

// Duration is a time.Duration that JSON writes as text such as "20ms".
type Duration time.Duration

// UnmarshalText reads a duration such as "20ms", or fails.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*duration = Duration(parsed)
	return err
}

// MarshalText writes the duration and never fails.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

func readJSON(writer http.ResponseWriter, request *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBody))
	if err := decoder.Decode(into); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	// A write that fails means that the client has gone.
	_ = json.NewEncoder(writer).Encode(value)
}

// loseReply breaks the connection in place of an answer.
func loseReply(http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}

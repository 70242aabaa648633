package hatchstandin

import (
	"encoding/json"
	"net/http"
	"time"
)

// maxBodyBytes limits the request body that a stand-in reads.
const maxBodyBytes = 4 << 20

// Duration is a time.Duration that is encoded in JSON as text such as "20ms".
type Duration time.Duration

// UnmarshalText parses a duration such as "20ms".
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*duration = Duration(parsed)
	return err
}

// MarshalText formats the duration; it never returns an error.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// readJSON decodes the request body; if that fails it responds with 400 and
// returns false.
func readJSON(writer http.ResponseWriter, request *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err := decoder.Decode(into); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(writer).Encode(value)
}

// abortConnection closes the connection without a response. It panics with
// http.ErrAbortHandler, so it does not return.
func abortConnection(http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}

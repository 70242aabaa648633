package hatchaudit

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// timelineMargin is the time before and after a request in which lines about its
	// replicas belong to its timeline. Daemons detect the loss of a replica within a
	// second.
	timelineMargin = 2 * time.Second
	// maxLogLineSize is the limit of a log line in bytes.
	maxLogLineSize = 1 << 20
)

// DaemonField is the field of a log line that names the host and the process of the
// daemon that wrote it.
const DaemonField = "daemon"

// Log is the log of one daemon, or of several whose lines have a DaemonField.
type Log struct {
	Name   string
	Reader io.Reader
}

// LogLine is a log line in the timeline of a request.
type LogLine struct {
	Log     string // name of the log, or the daemon that wrote the line
	Time    time.Time
	Message string
	Fields  map[string]any // all but time, level and message
}

// String returns the line as text, with its fields sorted by name.
func (line LogLine) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s: %s", line.Time.Format("15:04:05.000"), line.Log, line.Message)
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		fmt.Fprintf(&text, " %s=%v", name, line.Fields[name])
	}
	return text.String()
}

// Timeline returns the log lines that explain a request, ordered by time:
//   - the lines of the request itself
//   - the lines in which its daemon logged that the configuration of the request came
//     into force
//   - the lines about the replicas that caused its failures or that it was sent to
//     last, from timelineMargin before the request to timelineMargin after it
//
// Lines without a JSON log record are skipped. An error means that a log could not be
// read.
func Timeline(request string, logs []Log) ([]LogLine, error) {
	var requestLines, otherLines []LogLine
	for _, log := range logs {
		scanner := bufio.NewScanner(log.Reader)
		scanner.Buffer(nil, maxLogLineSize)
		for scanner.Scan() {
			line, ok := parseLine(log.Name, scanner.Bytes())
			switch {
			case !ok:
			case line.Fields["request"] == request:
				requestLines = append(requestLines, line)
			case line.Fields["address"] != nil || line.Message == configurationMessage:
				otherLines = append(otherLines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.Wrapf(err, "log %s", log.Name)
		}
	}
	if len(requestLines) == 0 {
		return nil, nil
	}
	slices.SortStableFunc(requestLines, byTime)
	from, until := requestLines[0].Time.Add(-timelineMargin), requestLines[len(requestLines)-1].Time.Add(timelineMargin)
	addresses, versions := relatedAddresses(requestLines), configurationVersions(requestLines)
	for _, line := range otherLines {
		address, ok := line.Fields["address"].(string)
		switch {
		case ok && addresses[address] && line.Time.After(from) && line.Time.Before(until):
			requestLines = append(requestLines, line)
		case line.Message == configurationMessage && versions[configurationVersion{line.Log, fmt.Sprint(line.Fields["version"])}]:
			requestLines = append(requestLines, line)
		}
	}
	slices.SortStableFunc(requestLines, byTime)
	return requestLines, nil
}

func byTime(a, b LogLine) int { return a.Time.Compare(b.Time) }

// configurationMessage is the message that a daemon logs when it puts a
// configuration in force.
const configurationMessage = "configuration in force"

// configurationVersion is a version of the configuration in the log of one daemon.
type configurationVersion struct {
	log     string
	version string
}

// configurationVersions returns the configuration versions that the lines mention.
func configurationVersions(lines []LogLine) map[configurationVersion]bool {
	versions := make(map[configurationVersion]bool)
	for _, line := range lines {
		if version, ok := line.Fields["configuration"]; ok {
			versions[configurationVersion{line.Log, fmt.Sprint(version)}] = true
		}
	}
	return versions
}

// relatedAddresses returns the addresses that the lines name as the cause of a
// failure or as the last one that the request was sent to.
func relatedAddresses(lines []LogLine) map[string]bool {
	related := make(map[string]bool)
	for _, line := range lines {
		if at, ok := line.Fields["at"].(string); ok && at != "" {
			related[at] = true
		}
		culprits, ok := line.Fields["culprits"].([]any)
		if !ok {
			continue
		}
		for _, address := range culprits {
			if text, ok := address.(string); ok {
				related[text] = true
			}
		}
	}
	return related
}

// parseLine parses a line that slog wrote as JSON.
func parseLine(log string, text []byte) (LogLine, bool) {
	start := bytes.IndexByte(text, '{') // a log collector may have added a prefix
	if start < 0 {
		return LogLine{}, false
	}
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	decoder.UseNumber()
	var fields map[string]any
	if decoder.Decode(&fields) != nil {
		return LogLine{}, false
	}
	timestamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	message, ok := fields["msg"].(string)
	if err != nil || !ok {
		return LogLine{}, false
	}
	if daemon, ok := fields[DaemonField].(string); ok { // says whose line it is in a merged log
		log = daemon
	}
	for _, name := range []string{"time", "level", "msg", DaemonField} {
		delete(fields, name)
	}
	return LogLine{Log: log, Time: at, Message: message, Fields: fields}, true
}

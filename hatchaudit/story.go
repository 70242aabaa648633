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
	// storyMargin is how long before and after a request the lines about its
	// replicas belong to its story: daemons hear of a loss within a second.
	storyMargin = 2 * time.Second
	// maxLogLine bounds a line of a log in bytes.
	maxLogLine = 1 << 20
)

// Log is what one daemon has written.
type Log struct {
	Name   string
	Reader io.Reader
}

// StoryLine is a line of a log that tells of a request.
type StoryLine struct {
	Log     string
	Time    time.Time
	Message string
	Fields  map[string]any // beside time, level and message
}

// String writes the line with its fields by name.
func (line StoryLine) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s: %s", line.Time.Format("15:04:05.000"), line.Log, line.Message)
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		fmt.Fprintf(&text, " %s=%v", name, line.Fields[name])
	}
	return text.String()
}

// Story returns what the logs tell of a request, by time: its own lines, those by
// which its daemon took the configuration that it was judged by, and those about
// the replicas that its failures were laid to or that it was at last, from shortly
// before it to shortly after. Lines that are no JSON are passed over; an error means
// that a log could not be read.
func Story(request string, logs []Log) ([]StoryLine, error) {
	var own, others []StoryLine
	for _, log := range logs {
		scanner := bufio.NewScanner(log.Reader)
		scanner.Buffer(nil, maxLogLine)
		for scanner.Scan() {
			line, ok := parseLine(log.Name, scanner.Bytes())
			switch {
			case !ok:
			case line.Fields["request"] == request:
				own = append(own, line)
			case line.Fields["address"] != nil || line.Message == configurationMessage:
				others = append(others, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.Wrapf(err, "log %s", log.Name)
		}
	}
	if len(own) == 0 {
		return nil, nil
	}
	slices.SortStableFunc(own, byTime)
	from, until := own[0].Time.Add(-storyMargin), own[len(own)-1].Time.Add(storyMargin)
	blamed, judgedBy := culprits(own), configurations(own)
	for _, line := range others {
		address, ok := line.Fields["address"].(string)
		switch {
		case ok && blamed[address] && line.Time.After(from) && line.Time.Before(until):
			own = append(own, line)
		case line.Message == configurationMessage && judgedBy[configurationOf{line.Log, fmt.Sprint(line.Fields["version"])}]:
			own = append(own, line)
		}
	}
	slices.SortStableFunc(own, byTime)
	return own, nil
}

func byTime(a, b StoryLine) int { return a.Time.Compare(b.Time) }

// configurationMessage is what a daemon writes when it takes a configuration.
const configurationMessage = "configuration in force"

// configurationOf is a version of the configuration at a daemon.
type configurationOf struct {
	log     string
	version string
}

// configurations returns the versions that the lines name.
func configurations(lines []StoryLine) map[configurationOf]bool {
	versions := make(map[configurationOf]bool)
	for _, line := range lines {
		if version, ok := line.Fields["configuration"]; ok {
			versions[configurationOf{line.Log, fmt.Sprint(version)}] = true
		}
	}
	return versions
}

// culprits returns the addresses that the lines lay failures to, or name as the
// last one.
func culprits(lines []StoryLine) map[string]bool {
	blamed := make(map[string]bool)
	for _, line := range lines {
		if at, ok := line.Fields["at"].(string); ok && at != "" {
			blamed[at] = true
		}
		addresses, ok := line.Fields["culprits"].([]any)
		if !ok {
			continue
		}
		for _, address := range addresses {
			if text, ok := address.(string); ok {
				blamed[text] = true
			}
		}
	}
	return blamed
}

// parseLine reads a line that slog has written as JSON.
func parseLine(log string, text []byte) (StoryLine, bool) {
	begin := bytes.IndexByte(text, '{') // a collector may have put its own words before it
	if begin < 0 {
		return StoryLine{}, false
	}
	decoder := json.NewDecoder(bytes.NewReader(text[begin:]))
	decoder.UseNumber()
	var fields map[string]any
	if decoder.Decode(&fields) != nil {
		return StoryLine{}, false
	}
	stamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	message, ok := fields["msg"].(string)
	if err != nil || !ok {
		return StoryLine{}, false
	}
	for _, name := range []string{"time", "level", "msg"} {
		delete(fields, name)
	}
	return StoryLine{Log: log, Time: at, Message: message, Fields: fields}, true
}

package hatchhead

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// Checker checks the head of the response that arrives on a connection, and the heads of
// the informational responses before it. The zero value expects a status line. Lines end
// as they do for net/textproto, so that both agree on where the head ends.
type Checker struct {
	expected element
	status   int    // of the head that is being read
	isHTTP10 bool   // the version of that head
	line     []byte // the part of the current line that has arrived
	err      error
}

// element is what a Checker expects next.
type element int

const (
	statusLine     element = iota
	firstFieldLine         // or the end of the head
	nextFieldLine          // or a continuation of the last one, or the end of the head
	content                // the head of the final response is complete
)

// Check checks the next bytes that arrive. It returns an error as soon as a line of the head
// is not valid, and from then on: no bytes of the connection are part of an answer any more.
// The caller bounds the size of the head.
func (checker *Checker) Check(data []byte) error {
	for checker.err == nil && !checker.Done() && len(data) > 0 {
		line, rest, ended := bytes.Cut(data, []byte{'\n'})
		checker.line = append(checker.line, line...)
		if !ended {
			break
		}
		checker.err = checker.checkLine(strings.TrimSuffix(string(checker.line), "\r"))
		checker.line, data = checker.line[:0], rest
	}
	return checker.err
}

// Done reports whether the head of the final response is complete.
func (checker *Checker) Done() bool {
	return checker.expected == content
}

func (checker *Checker) checkLine(line string) error {
	switch {
	case checker.expected == statusLine:
		status, ok := parseStatusLine(line)
		if !ok {
			return errors.Newf("invalid status line %.64q", line)
		}
		checker.status, checker.expected = status, firstFieldLine
		checker.isHTTP10 = strings.HasPrefix(line, "HTTP/1.0")
	case line == "" && checker.status < http.StatusOK:
		checker.expected = statusLine
	case line == "":
		checker.expected, checker.line = content, nil
	case checker.expected == nextFieldLine && (line[0] == ' ' || line[0] == '\t'):
		if !httpguts.ValidHeaderFieldValue(line) {
			return errors.Newf("invalid continuation of a field line %.64q", line)
		}
	default:
		name, value, found := strings.Cut(line, ":")
		if !found || !isField(name, value) {
			return errors.Newf("invalid field line %.64q", line)
		}
		if checker.isHTTP10 && strings.EqualFold(name, "Transfer-Encoding") {
			return errors.New("transfer encoding in a response of HTTP/1.0, which has none") // RFC 9112, section 6.1
		}
		checker.expected = nextFieldLine
	}
	return nil
}

// parseStatusLine returns the status (RFC 9112, section 4; RFC 9110, section 15). The blank
// before an empty reason may be missing, as many servers omit it.
func parseStatusLine(line string) (status int, ok bool) {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	minor, isVersion1 := strings.CutPrefix(version, "HTTP/1.")
	if !isVersion1 || !isNumber(minor, 1) || !isNumber(code, 3) || !httpguts.ValidHeaderFieldValue(reason) {
		return 0, false
	}
	status, err := strconv.Atoi(code)
	return status, err == nil && (IsFinalStatus(status) || isInformational(status))
}

// isNumber reports whether the text consists of that many digits.
func isNumber(text string, digits int) bool {
	return len(text) == digits && strings.Trim(text, "0123456789") == ""
}

// IsFinalStatus reports whether a response with the status can be the answer to a request
// (RFC 9110, section 15).
func IsFinalStatus(status int) bool {
	return status >= http.StatusOK && status < 600
}

// isInformational reports whether a final response follows the one with the status. That is
// not so for 101, which no request of the router asks for (RFC 9110, section 7.8).
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// isField reports whether the name is a token (RFC 9110, section 5.1), without blanks before
// the colon (RFC 9112, section 5.1), and the value has no control bytes.
func isField(name, value string) bool {
	return httpguts.ValidHeaderFieldName(name) && httpguts.ValidHeaderFieldValue(value)
}

package hatchhead

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestCheckerAgreesWithParser feeds valid heads in pieces of every size up to the whole, and
// compares where they end with where the parser of net/http finds the content.
func TestCheckerAgreesWithParser(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200\n\n",
		"HTTP/1.0 404 \r\nA:\r\n\r\n",
		"HTTP/1.1 599 \xe9\t\r\nA: b\nC: d\r\n\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\t\r\n \r\nD: e\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 204 No Content\r\nA: b\r\n\r\n",
	} {
		reader := bufio.NewReader(strings.NewReader(head + "content\r\n\r\n"))
		for status := 0; status < http.StatusOK; {
			response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodHead})
			if err != nil {
				t.Fatalf("%q: %v", head, err)
			}
			status = response.StatusCode
		}
		if rest, _ := io.ReadAll(reader); string(rest) != "content\r\n\r\n" {
			t.Errorf("%q: the parser leaves %q", head, rest)
		}
		for size := 1; size <= len(head); size++ {
			var checker Checker
			for rest := head; rest != ""; {
				piece := rest[:min(size, len(rest))]
				rest = rest[len(piece):]
				if err := checker.Check([]byte(piece)); err != nil || checker.Done() != (rest == "") {
					t.Errorf("%q in pieces of %d: done %t with %q left, %v", head, size, checker.Done(), rest, err)
				}
			}
			if err := checker.Check([]byte("\x00: content\n")); err != nil {
				t.Errorf("%q: the content is checked: %v", head, err)
			}
		}
	}
}

// TestNothingAfterInvalidHeadIsValid also covers heads that are broken where one line ends and
// the next begins.
func TestNothingAfterInvalidHeadIsValid(t *testing.T) {
	for _, head := range []string{
		"\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1  200 OK\r\n",
		"HTTP/1.1\t200 OK\r\n",
		" HTTP/1.1 200 OK\r\n",
		"http/1.1 200 OK\r\n",
		"HTTP/1.10 200 OK\r\n",
		"HTTP/1.1 20 OK\r\n",
		"HTTP/1.1 2000 OK\r\n",
		"HTTP/1.1 200 OK\r\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nA: b\r\n",
		"HTTP/1.1 200 OK\r\n\r\r\n",
		"HTTP/1.1 200 OK\r\n \r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\nc\r\n",
		"HTTP/1.1 200 OK\r\nA\r\n : b\r\n",
	} {
		for _, size := range []int{1, len(head)} {
			var checker Checker
			var err error
			for rest := head; rest != ""; rest = rest[min(size, len(rest)):] {
				err = checker.Check([]byte(rest[:min(size, len(rest))]))
			}
			if err == nil || checker.Check([]byte("\r\nHTTP/1.1 200 OK\r\n\r\n")) == nil || checker.Done() {
				t.Errorf("%q in pieces of %d: %v", head, size, err)
			}
		}
	}
}

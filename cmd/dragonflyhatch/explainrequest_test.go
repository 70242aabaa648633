package main

import (
	"encoding/json"
	"flag"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
	"dragonflyhatch/hatchpeer"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// fakeDaemon answers previews only.
type fakeDaemon struct {
	hatchpeer.FleetDaemon
	asked  dragonflyhatch.PreviewRequest
	answer []byte
	err    error
}

// Preview implements hatchpeer.FleetDaemon.
func (daemon *fakeDaemon) Preview(request []byte) ([]byte, error) {
	if err := errors.CombineErrors(daemon.err, json.Unmarshal(request, &daemon.asked)); err != nil {
		return nil, err
	}
	return daemon.answer, nil
}

// explain runs the command and returns its exit code, and its output with its errors.
func explain(t *testing.T, args ...string) (code int, output string) {
	file, err := os.Create(filepath.Join(t.TempDir(), "output"))
	convey.So(err, convey.ShouldBeNil)
	defer func(stdout *os.File) { os.Stdout = stdout }(os.Stdout)
	os.Stdout = file
	code = run(append([]string{"dragonflyhatch", "explain-request"}, args...), file)
	text, err := os.ReadFile(file.Name())
	convey.So(err, convey.ShouldBeNil)
	return code, string(text)
}

// TestExplainRequest guards against keys in the output, wrong exit codes and unintended
// changes to the text.
func TestExplainRequest(t *testing.T) {
	convey.Convey("Given a daemon and a key in a file", t, func() {
		const key = "sk-very-secret"
		keyFile := filepath.Join(t.TempDir(), "key")
		convey.So(os.WriteFile(keyFile, []byte(key+"\n"), 0o600), convey.ShouldBeNil)
		answer, err := os.ReadFile(filepath.Join("testdata", "explain-request.json"))
		convey.So(err, convey.ShouldBeNil)
		daemon := &fakeDaemon{answer: answer}
		server := httptest.NewServer(hatchpeer.NewFleetHandler(daemon))
		defer server.Close()
		address := server.Listener.Addr().String()
		base := []string{"--peer", address, "--host", "h.example", "--path", "/draft/"}
		good := append(base[:6:6], "--keyFile", keyFile, "--promptTokens", "100", "--outputTokens", "200", "--expectedTokens", "150", "--timeLeft", "5s")
		convey.Convey("The text equals the golden file, and the daemon learns the whole request", func() {
			code, output := explain(t, good...)
			convey.So(code, convey.ShouldEqual, 0)
			convey.So(daemon.asked, convey.ShouldResemble, dragonflyhatch.PreviewRequest{
				Host: "h.example", Path: "/draft/", Key: key, PromptTokens: 100, OutputTokens: 200, ExpectedTokens: 150, TimeLeft: 5 * time.Second,
			})
			golden := filepath.Join("testdata", "explain-request.golden")
			if *update {
				convey.So(os.WriteFile(golden, []byte(output), 0o644), convey.ShouldBeNil)
			}
			want, err := os.ReadFile(golden)
			convey.So(err, convey.ShouldBeNil)
			convey.So(output, convey.ShouldEqual, string(want))
		})
		convey.Convey("The JSON is the daemon's answer", func() {
			code, output := explain(t, append(good, "--json")...)
			convey.So(code, convey.ShouldEqual, 0)
			convey.So(output, convey.ShouldEqual, string(answer))
		})
		convey.Convey("Bad input ends with code 2, a daemon that does not answer with 1, without the key", func() {
			for _, args := range [][]string{
				{"--host", "h.example", "--path", "/"},
				append(base[:4:4], "--path", "draft"),
				append([]string{"--peer", "here"}, base[2:]...),
				append(base[:6:6], "--promptTokens", "-1"),
				append(base[:6:6], "--key="+key), append(base[:6:6], "--keyFile", key), append(base[:6:6], key),
			} {
				code, output := explain(t, args...)
				convey.So(code, convey.ShouldEqual, exitUsage)
				convey.So(output, convey.ShouldNotBeBlank)
				convey.So(output, convey.ShouldNotContainSubstring, key)
			}
			daemon.err = errors.New("not such a request")
			code, _ := explain(t, good...)
			convey.So(code, convey.ShouldEqual, exitUsage)
			server.Close()
			code, output := explain(t, good...)
			convey.So(code, convey.ShouldEqual, exitFailed)
			convey.So(output, convey.ShouldNotContainSubstring, key)
		})
		convey.Convey("A key comes from the standard input too, but neither empty nor too long", func() {
			for text, want := range map[string]string{" k \n": "k", "\n": "", strings.Repeat("k", maxKeySize+1): ""} {
				read, err := readKey("-", strings.NewReader(text))
				convey.So(read, convey.ShouldEqual, want)
				convey.So(err == nil, convey.ShouldEqual, want != "")
			}
		})
	})
}

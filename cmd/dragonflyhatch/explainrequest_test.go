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
	answer dragonflyhatch.Preview
	err    error
}

// Preview implements hatchpeer.FleetDaemon.
func (daemon *fakeDaemon) Preview(request []byte) ([]byte, error) {
	if daemon.err != nil {
		return nil, daemon.err
	}
	if err := json.Unmarshal(request, &daemon.asked); err != nil {
		return nil, err
	}
	return json.Marshal(daemon.answer)
}

func refusedPreview() dragonflyhatch.Preview {
	stage := func(address string, first, end int) dragonflyhatch.Stage {
		return dragonflyhatch.Stage{Address: address, Layers: dragonflyhatch.LayerRange{First: first, End: end}}
	}
	return dragonflyhatch.Preview{
		ConfigurationVersion: 29, ReplicasVersion: 101, Route: "draft", Service: "lm", Organisation: "office",
		Rank: 1, Ranks: 4, Priority: 2, Rule: "share", Probability: 0.41,
		Refusal: dragonflyhatch.PreviewRefusal{Kind: "overloaded", Detail: "rank 1 of 4, rule share", RetryAfter: 1234567890},
		Inputs: &dragonflyhatch.PreviewInputs{
			Work: 1600, Target: time.Second, Wait: 310 * time.Millisecond, Fits: 0.62, RankFits: 0.5, Demand: 900, Share: 0.2, FairShare: 0.1,
			Running: 120, Waiting: 40, Capacity: 128, RunTime: 4 * time.Second, Daemons: 12, OldestReport: 800 * time.Millisecond,
			Heads: []dragonflyhatch.PreviewHead{
				{Address: "10.0.0.1:80", Reported: true, Running: 120, Waiting: 40, Slots: 64, Age: 800 * time.Millisecond},
				{Address: "10.0.0.3:80", Slots: 64},
			},
		},
		Candidates: []dragonflyhatch.PreviewCandidate{
			{Site: "a", Chosen: true, Cost: 0.5, Head: "10.0.0.1:80", Wait: 310 * time.Millisecond, Version: 3, Stages: []dragonflyhatch.Stage{stage("10.0.0.1:80", 0, 4), stage("10.0.0.2:80", 4, 8)}},
			{Site: "b", Cost: 0.65, Head: "10.0.0.3:80", Version: 3, Stages: []dragonflyhatch.Stage{stage("10.0.0.3:80", 0, 8)}},
		},
		UsesFull: true, LeftOutCount: 2,
		LeftOut: []dragonflyhatch.PreviewLeftOut{
			{Address: "10.0.0.4:80", Site: "a", Reason: "down"}, {Address: "10.0.0.5:80", Site: "b", Reason: "pausing", For: 700 * time.Millisecond},
		},
	}
}

// explain runs the command and returns its exit code, its output and its errors.
func explain(t *testing.T, args ...string) (code int, output, errorOutput string) {
	var files [2]*os.File
	for i, name := range []string{"output", "errors"} {
		file, err := os.Create(filepath.Join(t.TempDir(), name))
		convey.So(err, convey.ShouldBeNil)
		defer file.Close()
		files[i] = file
	}
	stdout := os.Stdout
	os.Stdout = files[0]
	code = run(append([]string{"dragonflyhatch", "explain-request"}, args...), files[1])
	os.Stdout = stdout
	var texts [2]string
	for i, file := range files {
		text, err := os.ReadFile(file.Name())
		convey.So(err, convey.ShouldBeNil)
		texts[i] = string(text)
	}
	return code, texts[0], texts[1]
}

// TestExplainRequest guards against keys in the output, wrong exit codes and unintended
// changes to the text.
func TestExplainRequest(t *testing.T) {
	convey.Convey("Given a daemon and a key in a file", t, func() {
		const key = "sk-very-secret"
		keyFile := filepath.Join(t.TempDir(), "key")
		convey.So(os.WriteFile(keyFile, []byte(key+"\n"), 0o600), convey.ShouldBeNil)
		daemon := &fakeDaemon{answer: refusedPreview()}
		server := httptest.NewServer(hatchpeer.NewFleetHandler(daemon))
		defer server.Close()
		address := server.Listener.Addr().String()
		good := []string{
			"--peer", address, "--host", "h.example", "--path", "/draft/", "--keyFile", keyFile,
			"--promptTokens", "100", "--outputTokens", "200", "--expectedTokens", "150", "--timeLeft", "5s",
		}
		convey.Convey("The text equals the golden file, and the daemon learns the whole request", func() {
			code, output, _ := explain(t, good...)
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
			code, output, _ := explain(t, append(good, "--json")...)
			var preview dragonflyhatch.Preview
			convey.So(code, convey.ShouldEqual, 0)
			convey.So(json.Unmarshal([]byte(output), &preview), convey.ShouldBeNil)
			convey.So(preview, convey.ShouldResemble, daemon.answer)
		})
		convey.Convey("Bad input ends with code 2, a daemon that does not answer with 1, without the key", func() {
			base := good[:6]
			for _, args := range [][]string{
				{"--host", "h.example", "--path", "/"},
				append(base[:4:4], "--path", "draft"),
				append([]string{"--peer", "here"}, base[2:]...),
				append(base[:6:6], "--promptTokens", "-1"),
				append(base[:6:6], "--timeLeft", "-1s"),
				append(base[:6:6], "--key="+key),
				append(base[:6:6], "--keyFile", key),
				append(base[:6:6], key),
			} {
				code, output, errorOutput := explain(t, args...)
				convey.So(code, convey.ShouldEqual, exitUsage)
				convey.So(errorOutput, convey.ShouldNotBeBlank)
				convey.So(output+errorOutput, convey.ShouldNotContainSubstring, key)
			}
			daemon.err = errors.New("not such a request")
			code, _, _ := explain(t, good...)
			convey.So(code, convey.ShouldEqual, exitUsage)
			server.Close()
			code, output, errorOutput := explain(t, good...)
			convey.So(code, convey.ShouldEqual, exitFailed)
			convey.So(output+errorOutput, convey.ShouldNotContainSubstring, key)
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

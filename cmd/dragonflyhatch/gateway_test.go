package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch/hatchstandin"
	"dragonflyhatch/platform"
)

// gatewayVariable names the settings file of the daemon that the test's program runs
// instead of its tests.
const gatewayVariable = "TEST_GATEWAY_SETTINGS"

func TestMain(m *testing.M) {
	if file := os.Getenv(gatewayVariable); file != "" {
		os.Exit(run([]string{"dragonflyhatch", "gateway", file}, os.Stderr))
	}
	os.Exit(m.Run())
}

// TestGatewayWritesItsLastLine guards against log lines that are lost because the process
// exits before they are written.
func TestGatewayWritesItsLastLine(t *testing.T) {
	convey.Convey("The log of a daemon that is stopped ends with a line that says so", t, func() {
		file := filepath.Join(t.TempDir(), "settings")
		settings := &platform.Settings{
			Host: "h", IP: "127.0.0.1", Site: "s", MemoryMB: 100, StoreAddress: "127.0.0.1:1",
			CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		}
		settings.Bounds.StopTime = time.Second
		convey.So(os.WriteFile(file, []byte(settings.Format()), 0o600), convey.ShouldBeNil)
		for range 10 { // the loss depends on the scheduler
			var log hatchstandin.OutputBuffer
			process := exec.Command(os.Args[0])
			process.Env = append(os.Environ(), gatewayVariable+"="+file)
			process.Stdout, process.Stderr = &log, &log
			convey.So(process.Start(), convey.ShouldBeNil)
			for range 500 {
				if strings.Contains(log.String(), `"msg":"started"`) {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			convey.So(process.Process.Signal(syscall.SIGTERM), convey.ShouldBeNil)
			_ = process.Wait() // the test is about the log
			convey.So(log.String(), convey.ShouldContainSubstring, `"msg":"stopped"`)
		}
	})
}

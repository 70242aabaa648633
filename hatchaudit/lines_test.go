package hatchaudit

import (
	"io"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch/hatchstandin"
)

func TestLineWriter(t *testing.T) {
	convey.Convey("Write does not block while nobody reads the lines", t, func() {
		reader, writer := io.Pipe()
		defer reader.Close()
		lines := NewLineWriter(writer)
		var failure error
		start := time.Now()
		for range 10 * maxQueuedLines {
			if _, err := lines.Write([]byte("line\n")); err != nil {
				failure = err
			}
		}
		convey.So(time.Since(start), convey.ShouldBeLessThan, time.Second)
		convey.So(failure, convey.ShouldBeNil)
	})
	convey.Convey("Lines beyond the rate limit are dropped and counted", t, func() {
		var out hatchstandin.OutputBuffer
		lines := NewLineWriter(&out)
		for range maxLinesPerSecond + 50 {
			lines.Write([]byte("line\n"))
		}
		time.Sleep(1100 * time.Millisecond)
		lines.Write([]byte("last\n"))
		for range 100 {
			if strings.Contains(out.String(), "last") {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		dropped := 0
		for _, match := range regexp.MustCompile(`"log lines dropped","count":(\d+)`).FindAllStringSubmatch(out.String(), -1) {
			count, err := strconv.Atoi(match[1])
			convey.So(err, convey.ShouldBeNil)
			dropped += count
		}
		convey.So(dropped, convey.ShouldEqual, 50)
		convey.So(strings.Count(out.String(), "line\n"), convey.ShouldBeLessThanOrEqualTo, maxLinesPerSecond+1)
	})
}

// TestFlush guards against lines that are lost at the end of the process, and against an
// end that is held up by a blocked output.
func TestFlush(t *testing.T) {
	convey.Convey("Flush waits for a slow output", t, func() {
		var out hatchstandin.OutputBuffer
		lines := NewLineWriter(slowWriter{&out})
		for range 10 {
			lines.Write([]byte("line\n"))
		}
		lines.Write([]byte("last\n"))
		lines.Flush(10 * time.Second)
		convey.So(out.String(), convey.ShouldEndWith, "line\nlast\n")
	})
	convey.Convey("Flush does not wait longer than its timeout for a blocked output", t, func() {
		reader, writer := io.Pipe()
		defer reader.Close()
		lines := NewLineWriter(writer)
		lines.Write([]byte("line\n"))
		start := time.Now()
		lines.Flush(50 * time.Millisecond)
		convey.So(time.Since(start), convey.ShouldBeBetween, 40*time.Millisecond, 5*time.Second)
	})
}

// slowWriter is a blocking output.
type slowWriter struct{ io.Writer }

func (writer slowWriter) Write(data []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	return writer.Writer.Write(data)
}

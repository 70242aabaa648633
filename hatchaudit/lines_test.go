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
	convey.Convey("Lines that nobody reads keep no one waiting", t, func() {
		reader, writer := io.Pipe()
		defer reader.Close()
		lines := NewLineWriter(writer)
		begun := time.Now()
		for range 10 * waitingLines {
			_, err := lines.Write([]byte("line\n"))
			convey.So(err, convey.ShouldBeNil)
		}
		convey.So(time.Since(begun), convey.ShouldBeLessThan, time.Second)
	})
	convey.Convey("What is beyond the bound of a second is counted", t, func() {
		var out hatchstandin.Output
		lines := NewLineWriter(&out)
		for range linesPerSecond + 50 {
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
		left := 0
		for _, match := range regexp.MustCompile(`"log lines left out","count":(\d+)`).FindAllStringSubmatch(out.String(), -1) {
			count, err := strconv.Atoi(match[1])
			convey.So(err, convey.ShouldBeNil)
			left += count
		}
		convey.So(left, convey.ShouldEqual, 50)
		convey.So(strings.Count(out.String(), "line\n"), convey.ShouldBeLessThanOrEqualTo, linesPerSecond+1)
	})
}

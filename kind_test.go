package dragonflyhatch

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestKindsHaveAnswers(t *testing.T) {
	convey.Convey("The callers' page lists each kind with its status and what it proves", t, func() {
		page, err := os.ReadFile("docs/CALLERS.md")
		convey.So(err, convey.ShouldBeNil)
		for _, kind := range Kinds() {
			answer := kind.Answer()
			convey.So(answer.Status, convey.ShouldBeBetweenOrEqual, 400, 599)
			convey.So(answer.Title, convey.ShouldNotBeBlank)
			retry := ""
			if answer.Retry {
				retry = "yes"
			}
			row := fmt.Sprintf("| `%v` | %d | %v | %s | %s |", kind, answer.Status, answer.Ran, retry, answer.Title)
			convey.So(strings.Contains(string(page), row), convey.ShouldBeTrue)
			named, ok := KindNamed(kind.String())
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(named, convey.ShouldEqual, kind)
		}
	})
	convey.Convey("An error without a kind claims nothing", t, func() {
		convey.So(FailureOf(os.ErrClosed).Kind.Answer().Ran, convey.ShouldEqual, RanUnknown)
		convey.So(Kind(-1).Answer().Ran, convey.ShouldEqual, RanUnknown)
	})
}

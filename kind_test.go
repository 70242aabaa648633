package dragonflyhatch

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestKindsAreDocumented(t *testing.T) {
	convey.Convey("docs/CALLERS.md lists each kind with its status, ran, retry and title", t, func() {
		page, err := os.ReadFile("docs/CALLERS.md")
		convey.So(err, convey.ShouldBeNil)
		for _, kind := range Kinds() {
			answer := kind.ErrorResponse()
			convey.So(answer.Status, convey.ShouldBeBetweenOrEqual, 400, 599)
			convey.So(answer.Title, convey.ShouldNotBeBlank)
			retry := ""
			if answer.Retry {
				retry = "yes"
			}
			row := fmt.Sprintf("| `%v` | %d | %v | %s | %s |", kind, answer.Status, answer.Ran, retry, answer.Title)
			convey.So(strings.Contains(string(page), row), convey.ShouldBeTrue)
			named, ok := KindByName(kind.String())
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(named, convey.ShouldEqual, kind)
		}
	})
	convey.Convey("For an error without a kind it is unknown whether the request ran", t, func() {
		convey.So(FailureOf(os.ErrClosed).Kind.ErrorResponse().Ran, convey.ShouldEqual, RanUnknown)
		convey.So(Kind(-1).ErrorResponse().Ran, convey.ShouldEqual, RanUnknown)
	})
}

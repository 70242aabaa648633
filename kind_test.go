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
			response := kind.ErrorResponse()
			convey.So(response.Status, convey.ShouldBeBetweenOrEqual, 400, 599)
			convey.So(response.Title, convey.ShouldNotBeBlank)
			retry := ""
			if response.Retry {
				retry = "yes"
			}
			row := fmt.Sprintf("| `%v` | %d | %v | %s | %s |", kind, response.Status, response.Ran, retry, response.Title)
			convey.So(strings.Contains(string(page), row), convey.ShouldBeTrue)
			found, ok := KindByName(kind.String())
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(found, convey.ShouldEqual, kind)
		}
	})
	convey.Convey("For an error without a kind it is unknown whether the request ran", t, func() {
		convey.So(FailureOf(os.ErrClosed).Kind.ErrorResponse().Ran, convey.ShouldEqual, RanUnknown)
		convey.So(Kind(-1).ErrorResponse().Ran, convey.ShouldEqual, RanUnknown)
	})
}

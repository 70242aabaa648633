package hatchentry

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestNothingIsWrittenAfterTheHandler(t *testing.T) {
	convey.Convey("A stream whose handler panicked says nothing more", t, func() {
		recorder := httptest.NewRecorder()
		func() {
			defer func() { _ = recover() }()
			stream := newEventStream(recorder, nil, chatAnswer{}, "r")
			defer stream.stop()
			panic("in the handler")
		}()
		time.Sleep(keepAlive + 200*time.Millisecond)
		convey.So(recorder.Body.String(), convey.ShouldBeEmpty)
	})
}

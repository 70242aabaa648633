package hatchentry

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestNoWriteAfterHandlerPanic guards against a keep-alive comment that is
// written after the handler panicked, when the ResponseWriter may no longer be
// used.
func TestNoWriteAfterHandlerPanic(t *testing.T) {
	convey.Convey("A stream whose handler panicked writes nothing more", t, func() {
		recorder := httptest.NewRecorder()
		func() {
			defer func() { _ = recover() }()
			stream := newEventStream(recorder, nil, chatResponse{}, "r")
			defer stream.stop()
			panic("in the handler")
		}()
		time.Sleep(keepAliveInterval + 200*time.Millisecond)
		convey.So(recorder.Body.String(), convey.ShouldBeEmpty)
	})
}

package hatchconfig

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func readSource(site, name string) dragonflyhatch.SourceFile {
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		panic(err)
	}
	return dragonflyhatch.SourceFile{Name: name, Site: site, Text: string(text)}
}

// shouldMatchGolden is an assertion that a text equals a golden file in testdata.
func shouldMatchGolden(actual any, expected ...any) string {
	name := filepath.Join("testdata", expected[0].(string))
	if *update {
		if err := os.WriteFile(name, []byte(actual.(string)), 0o644); err != nil {
			return err.Error()
		}
	}
	golden, err := os.ReadFile(name)
	if err != nil {
		return err.Error()
	}
	return convey.ShouldEqual(actual, string(golden))
}

func errorText(err error) string {
	if err == nil {
		return "no faults\n"
	}
	return err.Error() + "\n"
}

func TestFaultsAreReportedTogether(t *testing.T) {
	convey.Convey("All five faults of a base are reported", t, func() {
		err := Check(dragonflyhatch.AcceptedConfiguration{Base: readSource("", "five-faults.hujson")})
		convey.So(errorText(err), shouldMatchGolden, "five-faults.golden")
		convey.So(err, convey.ShouldHaveLength, 5)
	})
	convey.Convey("A fault in an overlay is reported with the overlay's file and line", t, func() {
		err := Check(dragonflyhatch.AcceptedConfiguration{
			Base:     readSource("", "base.hujson"),
			Overlays: []dragonflyhatch.SourceFile{readSource("toorak", "overlay-faults.hujson")},
		})
		convey.So(errorText(err), shouldMatchGolden, "overlay-faults.golden")
	})
	convey.Convey("All faults of settings are reported", t, func() {
		_, err := ReadSettings("settings-faults.hujson", readSource("", "settings-faults.hujson").Text)
		convey.So(errorText(err), shouldMatchGolden, "settings-faults.golden")
	})
	convey.Convey("A syntax error is reported with its line", t, func() {
		_, err := ReadSettings("broken.hujson", "{\n  \"host\": \"a\",\n  oops\n}")
		convey.So(errorText(err), shouldMatchGolden, "broken.golden")
	})
}

func TestOverlayOverridesBase(t *testing.T) {
	convey.Convey("Given a base and an overlay", t, func() {
		accepted := dragonflyhatch.AcceptedConfiguration{
			Version:  7,
			Base:     readSource("", "base.hujson"),
			Overlays: []dragonflyhatch.SourceFile{readSource("toorak", "overlay.hujson")},
		}
		convey.So(Check(accepted), convey.ShouldBeNil)

		convey.Convey("the overlay's site gets the base merged with the overlay", func() {
			overridden, err := Resolve(accepted, "toorak")
			convey.So(err, convey.ShouldBeNil)
			convey.So(overridden.Version, convey.ShouldEqual, 7)
			convey.So(time.Duration(overridden.Organisations["office"].Deadline), convey.ShouldEqual, 6*time.Second)
			convey.So(overridden.Organisations["office"].TokenHashes, convey.ShouldHaveLength, 1)
			convey.So(overridden.Engines, convey.ShouldNotContainKey, "engine-1")
			convey.So(overridden.Engines, convey.ShouldContainKey, "engine-2")
		})
		convey.Convey("another site gets the base, with defaults", func() {
			unchanged, err := Resolve(accepted, "walu-bay")
			convey.So(err, convey.ShouldBeNil)
			convey.So(time.Duration(unchanged.Organisations["office"].Deadline), convey.ShouldEqual, 8*time.Second)
			convey.So(unchanged.Engines, convey.ShouldContainKey, "engine-1")
			convey.So(unchanged.Organisations["office"].Share, convey.ShouldEqual, 1)
		})
		convey.Convey("a diff lists the changed fields", func() {
			before := dragonflyhatch.AcceptedConfiguration{Base: accepted.Base}
			convey.So(Diff(before, accepted), convey.ShouldContain, `+ toorak: organisations.office.deadline = "6s"`)
			convey.So(Diff(accepted, accepted), convey.ShouldBeEmpty)
		})
	})
}

func TestOnlyRoutesMakeCallsRepeatable(t *testing.T) {
	convey.Convey("A call may be repeated only if its route is repeatable", t, func() {
		configuration, err := Resolve(dragonflyhatch.AcceptedConfiguration{Base: readSource("", "base.hujson")}, "")
		convey.So(err, convey.ShouldBeNil)
		orders := configuration.Services["orders"]
		convey.So(orders.Repeatable("GET", "/menu?day=2"), convey.ShouldBeTrue)
		convey.So(orders.Repeatable("GET", "/runs/today"), convey.ShouldBeTrue)
		convey.So(orders.Repeatable("POST", "/menu"), convey.ShouldBeFalse)
		convey.So(orders.Repeatable("POST", "/notes"), convey.ShouldBeFalse)
		convey.So(orders.Repeatable("GET", "/other"), convey.ShouldBeFalse)
	})
}

// FuzzRead checks that no text makes the readers panic, and that a text with faults
// yields no value.
func FuzzRead(f *testing.F) {
	for _, name := range []string{"base.hujson", "overlay.hujson", "five-faults.hujson", "settings-faults.hujson"} {
		f.Add(readSource("", name).Text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		configuration, err := Resolve(dragonflyhatch.AcceptedConfiguration{Base: dragonflyhatch.SourceFile{Text: text}}, "")
		if (err == nil) == (configuration == nil) {
			t.Fatalf("value %v with error %v", configuration, err)
		}
		settings, err := ReadSettings("", text)
		if (err == nil) == (settings == nil) {
			t.Fatalf("value %v with error %v", settings, err)
		}
	})
}

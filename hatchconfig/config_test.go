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

var update = flag.Bool("update", false, "write the golden files anew")

func source(site, name string) dragonflyhatch.SourceFile {
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		panic(err)
	}
	return dragonflyhatch.SourceFile{Name: name, Site: site, Text: string(text)}
}

// shouldMatchGolden compares a text with a golden file.
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
	convey.Convey("A base with five faults names all five", t, func() {
		err := Check(dragonflyhatch.AcceptedConfiguration{Base: source("", "five-faults.hujson")})
		convey.So(errorText(err), shouldMatchGolden, "five-faults.golden")
		convey.So(err, convey.ShouldHaveLength, 5)
	})
	convey.Convey("Faults of an overlay name the overlay's file and line", t, func() {
		err := Check(dragonflyhatch.AcceptedConfiguration{
			Base:     source("", "base.hujson"),
			Overlays: []dragonflyhatch.SourceFile{source("toorak", "overlay-faults.hujson")},
		})
		convey.So(errorText(err), shouldMatchGolden, "overlay-faults.golden")
	})
	convey.Convey("Settings report theirs likewise", t, func() {
		_, err := ReadSettings("settings-faults.hujson", source("", "settings-faults.hujson").Text)
		convey.So(errorText(err), shouldMatchGolden, "settings-faults.golden")
	})
	convey.Convey("A text that is no JSON names the line", t, func() {
		_, err := ReadSettings("broken.hujson", "{\n  \"host\": \"a\",\n  oops\n}")
		convey.So(errorText(err), shouldMatchGolden, "broken.golden")
	})
}

func TestOverlayStatesOnlyDifferences(t *testing.T) {
	convey.Convey("Given a base and an overlay", t, func() {
		accepted := dragonflyhatch.AcceptedConfiguration{
			Version:  7,
			Base:     source("", "base.hujson"),
			Overlays: []dragonflyhatch.SourceFile{source("toorak", "overlay.hujson")},
		}
		convey.So(Check(accepted), convey.ShouldBeNil)

		convey.Convey("the overlay's site sees both", func() {
			there, err := Resolve(accepted, "toorak")
			convey.So(err, convey.ShouldBeNil)
			convey.So(there.Version, convey.ShouldEqual, 7)
			convey.So(time.Duration(there.Organisations["office"].Deadline), convey.ShouldEqual, 6*time.Second)
			convey.So(there.Organisations["office"].TokenHashes, convey.ShouldHaveLength, 1)
			convey.So(there.Engines, convey.ShouldNotContainKey, "engine-1")
			convey.So(there.Engines, convey.ShouldContainKey, "engine-2")
		})
		convey.Convey("another site sees the base, with defaults", func() {
			here, err := Resolve(accepted, "walu-bay")
			convey.So(err, convey.ShouldBeNil)
			convey.So(time.Duration(here.Organisations["office"].Deadline), convey.ShouldEqual, 8*time.Second)
			convey.So(here.Engines, convey.ShouldContainKey, "engine-1")
			convey.So(here.Organisations["office"].Share, convey.ShouldEqual, 1)
		})
		convey.Convey("a diff lists what changes", func() {
			before := dragonflyhatch.AcceptedConfiguration{Base: accepted.Base}
			convey.So(Diff(before, accepted), convey.ShouldContain, `+ toorak: organisations.office.deadline = "6s"`)
			convey.So(Diff(accepted, accepted), convey.ShouldBeEmpty)
		})
	})
}

func TestRoutesSayWhatMayBeRepeated(t *testing.T) {
	convey.Convey("A call may be repeated only if a route says so", t, func() {
		configuration, err := Resolve(dragonflyhatch.AcceptedConfiguration{Base: source("", "base.hujson")}, "")
		convey.So(err, convey.ShouldBeNil)
		orders := configuration.Services["orders"]
		convey.So(orders.Repeatable("GET", "/menu?day=2"), convey.ShouldBeTrue)
		convey.So(orders.Repeatable("GET", "/runs/today"), convey.ShouldBeTrue)
		convey.So(orders.Repeatable("POST", "/menu"), convey.ShouldBeFalse)
		convey.So(orders.Repeatable("POST", "/notes"), convey.ShouldBeFalse)
		convey.So(orders.Repeatable("GET", "/other"), convey.ShouldBeFalse)
	})
}

// FuzzRead holds that no text makes the readers panic, and that a text with
// faults yields no value.
func FuzzRead(f *testing.F) {
	for _, name := range []string{"base.hujson", "overlay.hujson", "five-faults.hujson", "settings-faults.hujson"} {
		f.Add(source("", name).Text)
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

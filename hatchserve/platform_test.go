package hatchserve

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
)

// fate is what becomes of a call to the fake platform.
type fate int

const (
	served    fate = iota
	callLost       // the call takes no effect and is not answered
	replyLost      // the call takes effect and is not answered
	fateCount
)

var errNoAnswer = errors.New("no answer")

// fakePlatform is an object API in memory. Before each call it asks what is to
// become of it; other events may happen in between.
type fakePlatform struct {
	ask     func() fate
	version uint64
	objects map[string]dragonflyhatch.Object
	writes  []dragonflyhatch.Object // every write that took effect
}

var _ dragonflyhatch.Platform = (*fakePlatform)(nil)

func newFakePlatform() *fakePlatform {
	return &fakePlatform{ask: func() fate { return served }, objects: make(map[string]dragonflyhatch.Object)}
}

func (platform *fakePlatform) Get(_ context.Context, name string) (dragonflyhatch.Object, error) {
	if platform.ask() != served {
		return dragonflyhatch.Object{}, errNoAnswer
	}
	object, ok := platform.objects[name]
	if !ok {
		return object, dragonflyhatch.ErrObjectMissing
	}
	return object, nil
}

func (platform *fakePlatform) List(_ context.Context, prefix string) ([]dragonflyhatch.Object, uint64, error) {
	if platform.ask() != served {
		return nil, 0, errNoAnswer
	}
	var objects []dragonflyhatch.Object
	for _, name := range slices.Sorted(maps.Keys(platform.objects)) {
		if strings.HasPrefix(name, prefix) {
			objects = append(objects, platform.objects[name])
		}
	}
	return objects, platform.version, nil
}

func (platform *fakePlatform) Watch(context.Context, string, uint64, time.Duration) ([]dragonflyhatch.Change, uint64, error) {
	return nil, 0, errNoAnswer
}

func (platform *fakePlatform) Hosts(context.Context) ([]dragonflyhatch.ListedHost, error) {
	return nil, errNoAnswer
}

func (platform *fakePlatform) Create(_ context.Context, name string, value []byte) (uint64, error) {
	return platform.write(name, 0, value)
}

func (platform *fakePlatform) Update(_ context.Context, name string, version uint64, value []byte) (uint64, error) {
	return platform.write(name, version, value)
}

func (platform *fakePlatform) Delete(context.Context, string, uint64) error {
	return errNoAnswer
}

func (platform *fakePlatform) write(name string, version uint64, value []byte) (uint64, error) {
	fate := platform.ask()
	if fate == callLost {
		return 0, errNoAnswer
	}
	if platform.objects[name].Version != version {
		if fate == replyLost {
			return 0, errNoAnswer
		}
		return 0, dragonflyhatch.ErrVersionChanged
	}
	platform.version++
	object := dragonflyhatch.Object{Name: name, Version: platform.version, Value: value}
	platform.objects[name] = object
	platform.writes = append(platform.writes, object)
	if fate == replyLost {
		return 0, errNoAnswer
	}
	return object.Version, nil
}

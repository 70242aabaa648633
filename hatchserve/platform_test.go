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

// callOutcome is the outcome of a call to the fake platform.
type callOutcome int

const (
	callServed  callOutcome = iota
	requestLost             // the call has no effect and gets no reply
	replyLost               // the call takes effect and gets no reply
	outcomeCount
)

var errNoReply = errors.New("no reply")

// fakePlatform is an in-memory platform. Before each call it asks nextOutcome
// for the outcome, which may let other events happen in between.
type fakePlatform struct {
	nextOutcome func() callOutcome
	version     uint64
	objects     map[string]dragonflyhatch.Object
	writes      []dragonflyhatch.Object // every write that took effect
}

var _ dragonflyhatch.Platform = (*fakePlatform)(nil)

func newFakePlatform() *fakePlatform {
	return &fakePlatform{nextOutcome: func() callOutcome { return callServed }, objects: make(map[string]dragonflyhatch.Object)}
}

func (platform *fakePlatform) Get(_ context.Context, name string) (dragonflyhatch.Object, error) {
	if platform.nextOutcome() != callServed {
		return dragonflyhatch.Object{}, errNoReply
	}
	object, ok := platform.objects[name]
	if !ok {
		return object, dragonflyhatch.ErrObjectMissing
	}
	return object, nil
}

func (platform *fakePlatform) List(_ context.Context, prefix string) ([]dragonflyhatch.Object, uint64, error) {
	if platform.nextOutcome() != callServed {
		return nil, 0, errNoReply
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
	return nil, 0, errNoReply
}

func (platform *fakePlatform) Hosts(context.Context) ([]dragonflyhatch.ListedHost, error) {
	return nil, errNoReply
}

func (platform *fakePlatform) Create(_ context.Context, name string, value []byte) (uint64, error) {
	return platform.write(name, 0, value)
}

func (platform *fakePlatform) Update(_ context.Context, name string, version uint64, value []byte) (uint64, error) {
	return platform.write(name, version, value)
}

func (platform *fakePlatform) Delete(context.Context, string, uint64) error {
	return errNoReply
}

func (platform *fakePlatform) write(name string, version uint64, value []byte) (uint64, error) {
	outcome := platform.nextOutcome()
	if outcome == requestLost {
		return 0, errNoReply
	}
	if platform.objects[name].Version != version {
		if outcome == replyLost {
			return 0, errNoReply
		}
		return 0, dragonflyhatch.ErrVersionConflict
	}
	platform.version++
	object := dragonflyhatch.Object{Name: name, Version: platform.version, Value: value}
	platform.objects[name] = object
	platform.writes = append(platform.writes, object)
	if outcome == replyLost {
		return 0, errNoReply
	}
	return object.Version, nil
}

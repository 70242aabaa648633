package dragonflyhatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// The results of the platform that a caller must tell apart from an outage.
var (
	ErrObjectMissing  = errors.New("object does not exist")
	ErrVersionChanged = errors.New("object has another version")
	ErrHistoryGone    = errors.New("changes since that version are forgotten")
)

// Object is one versioned value of the platform's object API.
type Object struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"` // raised by every write, unique over all objects
	Value   []byte `json:"value"`
}

// Change is one step of a watch: the object's new state, or its removal.
type Change struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// ListedHost is one row of the platform's host list, which lags.
type ListedHost struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
	Version uint64 `json:"version"` // raised each time the row changes
}

// ObjectQueries reads the platform and changes nothing.
type ObjectQueries interface {
	// Get returns the object, or ErrObjectMissing.
	Get(ctx context.Context, name string) (Object, error)
	// List returns the objects below the prefix and the version up to which
	// the listing is complete.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Watch waits up to wait for changes below the prefix that are newer than
	// after, and returns them with the version to watch from next.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Hosts returns the lagging host list.
	Hosts(ctx context.Context) ([]ListedHost, error)
}

// ObjectCommands changes the platform. An error other than ErrVersionChanged
// and ErrObjectMissing leaves open whether the write took effect.
type ObjectCommands interface {
	// Create writes a new object, or fails with ErrVersionChanged if it exists.
	Create(ctx context.Context, name string, value []byte) (uint64, error)
	// Update replaces the object if its version is still the given one.
	Update(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
	// Delete removes the object if its version is still the given one.
	Delete(ctx context.Context, name string, version uint64) error
}

// Platform is the object API that holds all that must last.
type Platform interface {
	ObjectQueries
	ObjectCommands
}

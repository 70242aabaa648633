package dragonflyhatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of the platform that do not mean that it is unavailable.
var (
	ErrObjectMissing   = errors.New("object does not exist")
	ErrVersionConflict = errors.New("object has another version")
	ErrHistoryGone     = errors.New("changes since that version are no longer kept")
)

// Object is a versioned value of the platform's object API.
type Object struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"` // increases with every write; unique among all objects; see StoreVersion
	Value   []byte `json:"value"`
}

// Change is an event of a watch: an object's new state, or its removal.
type Change struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// ListedHost is an entry of the platform's host list, which lags behind the actual
// state.
type ListedHost struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
	Version uint64 `json:"version"` // increases with each change of the entry
}

// ObjectQueries reads objects of the platform.
type ObjectQueries interface {
	// Get returns the object, or ErrObjectMissing.
	Get(ctx context.Context, name string) (Object, error)
	// List returns the objects below the prefix and the version up to which
	// the listing is complete. All are of one era.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Watch waits at most the given time for changes below the prefix that are
	// newer than the version after. It returns them with the version to pass to
	// the next call, or ErrHistoryGone, also if the store has entered another era.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Hosts returns the platform's host list, which lags behind the actual
	// state.
	Hosts(ctx context.Context) ([]ListedHost, error)
}

// ObjectCommands writes objects of the platform. After an error other than
// ErrVersionConflict and ErrObjectMissing it is unknown whether the write was
// applied.
type ObjectCommands interface {
	// Create writes a new object, or fails with ErrVersionConflict if it exists.
	Create(ctx context.Context, name string, value []byte) (uint64, error)
	// Update replaces the object if its version is still the given one.
	Update(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
	// Delete removes the object if its version is still the given one.
	Delete(ctx context.Context, name string, version uint64) error
}

// Platform is the object API, which stores all durable state.
type Platform interface {
	ObjectQueries
	ObjectCommands
}

package hatchaudit

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
)

// Entry is one change, or one attempt to make it.
type Entry struct {
	At      time.Time `json:"at"`
	Host    string    `json:"host"` // daemon that recorded it
	Who     string    `json:"who"`  // operator, or the daemon itself
	What    string    `json:"what"`
	From    string    `json:"from,omitempty"`
	To      string    `json:"to,omitempty"`
	Outcome string    `json:"outcome"`
	Lost    int       `json:"lost,omitempty"` // entries that this one stands for
}

// The bounds of the trail.
const (
	slotCount     = 16       // objects of one host
	slotBytes     = 48 << 10 // of entries in one object
	maxPending    = 1024     // entries that wait for the platform
	flushInterval = time.Second
	prefix        = "audit/"
)

// Trail writes the entries of one daemon. Its objects form a ring: the newest
// entries replace the oldest. While the platform is down entries wait in
// memory; those that no longer fit are counted, and the count is recorded.
type Trail struct {
	host     string
	platform dragonflyhatch.Platform
	logger   *slog.Logger

	mu      sync.Mutex
	pending []Entry
	lost    int

	writing sync.Mutex // guards what follows
	opened  bool
	slot    int
	version uint64 // of the slot's object, 0 if there is none
	entries []Entry
}

// NewTrail returns the trail of the daemon on the host.
func NewTrail(host string, platform dragonflyhatch.Platform, logger *slog.Logger) *Trail {
	return &Trail{host: host, platform: platform, logger: logger}
}

// Add records an entry; it fills in the time and the host and never waits.
func (trail *Trail) Add(entry Entry) {
	entry.At = time.Now().UTC()
	entry.Host = trail.host
	trail.logger.Info("change", "who", entry.Who, "what", entry.What, "from", entry.From, "to", entry.To, "outcome", entry.Outcome)
	trail.mu.Lock()
	defer trail.mu.Unlock()
	if len(trail.pending) == maxPending {
		trail.lost++
		return
	}
	trail.pending = append(trail.pending, entry)
}

// Run writes entries until ctx is done, at most once a second.
func (trail *Trail) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := trail.Flush(ctx); err != nil {
				trail.logger.Warn("audit trail not written", "error", err)
			}
		}
	}
}

// Flush writes what is pending. After an error the entries stay pending; one
// whose write was applied all the same is then found in two places.
func (trail *Trail) Flush(ctx context.Context) error {
	trail.writing.Lock()
	defer trail.writing.Unlock()
	batch := trail.batch()
	if len(batch) == 0 {
		return nil
	}
	if err := trail.write(ctx, batch); err != nil {
		trail.opened = false // what the slot holds must be read again
		return err
	}
	trail.written(batch)
	return nil
}

func (trail *Trail) batch() []Entry {
	trail.mu.Lock()
	defer trail.mu.Unlock()
	batch := slices.Clone(trail.pending)
	if trail.lost > 0 {
		batch = append(batch, Entry{
			At: time.Now().UTC(), Host: trail.host, Who: trail.host,
			What: "audit", Outcome: "gap", Lost: trail.lost,
		})
	}
	return batch
}

func (trail *Trail) written(batch []Entry) {
	trail.mu.Lock()
	defer trail.mu.Unlock()
	last := batch[len(batch)-1]
	trail.lost -= last.Lost
	count := len(batch)
	if last.Lost > 0 {
		count--
	}
	trail.pending = slices.Delete(trail.pending, 0, count)
}

func (trail *Trail) slotName(slot int) string {
	return fmt.Sprintf("%s%s/%02d", prefix, trail.host, slot)
}

func (trail *Trail) write(ctx context.Context, batch []Entry) error {
	if err := trail.open(ctx); err != nil {
		return err
	}
	value, err := json.Marshal(slices.Concat(trail.entries, batch))
	if err != nil {
		return err
	}
	if len(value) > slotBytes && len(trail.entries) > 0 {
		if err := trail.nextSlot(ctx); err != nil {
			return err
		}
		return trail.write(ctx, batch)
	}
	version, err := put(ctx, trail.platform, trail.slotName(trail.slot), trail.version, value)
	if err != nil {
		return err
	}
	trail.version = version
	trail.entries = append(trail.entries, batch...)
	return nil
}

func put(ctx context.Context, platform dragonflyhatch.Platform, name string, version uint64, value []byte) (uint64, error) {
	if version == 0 {
		return platform.Create(ctx, name, value)
	}
	return platform.Update(ctx, name, version, value)
}

// open finds the slot that the last process on this host wrote to.
func (trail *Trail) open(ctx context.Context) error {
	if trail.opened {
		return nil
	}
	objects, _, err := trail.platform.List(ctx, prefix+trail.host+"/")
	if err != nil {
		return err
	}
	trail.slot, trail.version, trail.entries = 0, 0, nil
	for _, object := range objects {
		if object.Version < trail.version {
			continue
		}
		if _, err := fmt.Sscanf(object.Name, prefix+trail.host+"/%d", &trail.slot); err != nil {
			return errors.Wrapf(err, "object %s", object.Name)
		}
		trail.version = object.Version
		trail.entries = nil
		if err := json.Unmarshal(object.Value, &trail.entries); err != nil {
			return errors.Wrapf(err, "object %s", object.Name)
		}
	}
	trail.opened = true
	return nil
}

// nextSlot goes on to the next object of the ring, to replace what it holds.
func (trail *Trail) nextSlot(ctx context.Context) error {
	slot := (trail.slot + 1) % slotCount
	object, err := trail.platform.Get(ctx, trail.slotName(slot))
	if err != nil && !errors.Is(err, dragonflyhatch.ErrObjectMissing) {
		return err
	}
	trail.slot, trail.version, trail.entries = slot, object.Version, nil
	return nil
}

// Read returns the entries of all hosts, oldest first, of those that what is a
// prefix of.
func Read(ctx context.Context, platform dragonflyhatch.ObjectQueries, what string) ([]Entry, error) {
	objects, _, err := platform.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var all []Entry
	for _, object := range objects {
		var entries []Entry
		if err := json.Unmarshal(object.Value, &entries); err != nil {
			return nil, errors.Wrapf(err, "object %s", object.Name)
		}
		all = append(all, entries...)
	}
	all = slices.DeleteFunc(all, func(entry Entry) bool { return !strings.HasPrefix(entry.What, what) })
	slices.SortStableFunc(all, func(a, b Entry) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Host, b.Host))
	})
	return slices.Compact(all), nil
}

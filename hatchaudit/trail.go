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

// Entry describes a change, or an attempt to make it.
type Entry struct {
	At      time.Time `json:"at"`
	Host    string    `json:"host"` // of the daemon that recorded the entry
	Actor   string    `json:"who"`  // operator, or the daemon itself
	Action  string    `json:"what"`
	From    string    `json:"from,omitempty"`
	To      string    `json:"to,omitempty"`
	Outcome string    `json:"outcome"`
	Lost    int       `json:"lost,omitempty"` // number of lost entries that this one replaces
}

// The limits of the trail.
const (
	slotCount     = 16       // objects for each host
	maxSlotSize   = 48 << 10 // bytes of entries in one object
	maxPending    = 1024     // entries waiting to be written
	flushInterval = time.Second
	objectPrefix  = "audit/"
)

// Trail writes the audit entries of one daemon to the platform. Its objects, called
// slots, form a ring: the newest entries replace the oldest. While the platform is
// down, up to maxPending entries wait in memory; the number of further ones is
// recorded in an entry of its own.
type Trail struct {
	host     string
	platform dragonflyhatch.Platform
	logger   *slog.Logger

	mu      sync.Mutex
	pending []Entry
	lost    int // entries that did not fit into pending

	flushMu    sync.Mutex // serializes flushes and guards the fields below
	slotLoaded bool
	slot       int
	version    uint64  // of the slot's object, 0 if there is none
	entries    []Entry // of the slot's object
}

// NewTrail returns a trail for the daemon on the host.
func NewTrail(host string, platform dragonflyhatch.Platform, logger *slog.Logger) *Trail {
	return &Trail{host: host, platform: platform, logger: logger}
}

// Add logs the entry and queues it to be written, with the current time and the
// trail's host. It never waits for the platform.
func (trail *Trail) Add(entry Entry) {
	entry.At = time.Now().UTC()
	entry.Host = trail.host
	trail.logger.Info("change", "who", entry.Actor, "what", entry.Action, "from", entry.From, "to", entry.To, "outcome", entry.Outcome)
	trail.mu.Lock()
	defer trail.mu.Unlock()
	if len(trail.pending) == maxPending {
		trail.lost++
		return
	}
	trail.pending = append(trail.pending, entry)
}

// Run writes pending entries until ctx is done, at most once per flushInterval.
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

// Flush writes the pending entries. After an error they remain pending; if the write
// was applied nevertheless, they are stored twice.
func (trail *Trail) Flush(ctx context.Context) error {
	trail.flushMu.Lock()
	defer trail.flushMu.Unlock()
	batch := trail.batch()
	if len(batch) == 0 {
		return nil
	}
	if err := trail.writeEntries(ctx, batch); err != nil {
		trail.slotLoaded = false // the slot must be loaded again: the write may have been applied
		return err
	}
	trail.markWritten(batch)
	return nil
}

// batch returns the pending entries, with an entry for the lost ones at the end.
func (trail *Trail) batch() []Entry {
	trail.mu.Lock()
	defer trail.mu.Unlock()
	batch := slices.Clone(trail.pending)
	if trail.lost > 0 {
		batch = append(batch, Entry{
			At: time.Now().UTC(), Host: trail.host, Actor: trail.host,
			Action: "audit", Outcome: "gap", Lost: trail.lost,
		})
	}
	return batch
}

// markWritten removes the written batch from the pending entries and the lost count.
func (trail *Trail) markWritten(batch []Entry) {
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
	return fmt.Sprintf("%s%s/%02d", objectPrefix, trail.host, slot)
}

// writeEntries adds the batch to the current slot, or to the next one if the slot is
// full.
func (trail *Trail) writeEntries(ctx context.Context, batch []Entry) error {
	if err := trail.loadCurrentSlot(ctx); err != nil {
		return err
	}
	value, err := json.Marshal(slices.Concat(trail.entries, batch))
	if err != nil {
		return err
	}
	if len(value) > maxSlotSize && len(trail.entries) > 0 {
		if err := trail.advanceSlot(ctx); err != nil {
			return err
		}
		return trail.writeEntries(ctx, batch)
	}
	version, err := putObject(ctx, trail.platform, trail.slotName(trail.slot), trail.version, value)
	if err != nil {
		return err
	}
	trail.version = version
	trail.entries = append(trail.entries, batch...)
	return nil
}

// putObject creates the object if version is 0, and otherwise updates it.
func putObject(ctx context.Context, platform dragonflyhatch.Platform, name string, version uint64, value []byte) (uint64, error) {
	if version == 0 {
		return platform.Create(ctx, name, value)
	}
	return platform.Update(ctx, name, version, value)
}

// loadCurrentSlot loads the slot that was last written for this host, which may have
// been by an earlier process.
func (trail *Trail) loadCurrentSlot(ctx context.Context) error {
	if trail.slotLoaded {
		return nil
	}
	objects, _, err := trail.platform.List(ctx, objectPrefix+trail.host+"/")
	if err != nil {
		return err
	}
	trail.slot, trail.version, trail.entries = 0, 0, nil
	for _, object := range objects {
		if object.Version < trail.version {
			continue
		}
		if _, err := fmt.Sscanf(object.Name, objectPrefix+trail.host+"/%d", &trail.slot); err != nil {
			return errors.Wrapf(err, "object %s", object.Name)
		}
		trail.version = object.Version
		trail.entries = nil
		if err := json.Unmarshal(object.Value, &trail.entries); err != nil {
			return errors.Wrapf(err, "object %s", object.Name)
		}
	}
	trail.slotLoaded = true
	return nil
}

// advanceSlot moves to the next slot of the ring. The next write replaces its entries.
func (trail *Trail) advanceSlot(ctx context.Context) error {
	slot := (trail.slot + 1) % slotCount
	object, err := trail.platform.Get(ctx, trail.slotName(slot))
	if err != nil && !errors.Is(err, dragonflyhatch.ErrObjectMissing) {
		return err
	}
	trail.slot, trail.version, trail.entries = slot, object.Version, nil
	return nil
}

// ReadEntries returns the entries of all hosts whose action starts with actionPrefix,
// oldest first.
func ReadEntries(ctx context.Context, platform dragonflyhatch.ObjectQueries, actionPrefix string) ([]Entry, error) {
	objects, _, err := platform.List(ctx, objectPrefix)
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
	all = slices.DeleteFunc(all, func(entry Entry) bool { return !strings.HasPrefix(entry.Action, actionPrefix) })
	slices.SortStableFunc(all, func(a, b Entry) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Host, b.Host))
	})
	return slices.Compact(all), nil
}

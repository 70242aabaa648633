package hatchpeer

import (
	"bytes"
	"testing"

	"dragonflyhatch"
)

// TestManyCompressedChanges guards against a gossip message of a few KB whose changes of
// registrations occupy a large part of a daemon's memory.
func TestManyCompressedChanges(t *testing.T) {
	const elements = 100_000
	text := append([]byte("[{}"), bytes.Repeat([]byte(",{}"), elements-1)...)
	packed, err := compress(append(text, ']'))
	if err != nil {
		t.Fatal(err)
	}
	for name, encoded := range map[string][]byte{"compressed": packed, "plain": append(text, ']')} {
		if changes, err := decodeChanges(encoded); err == nil {
			t.Errorf("%s: %d changes decoded from %d bytes", name, len(changes), len(encoded))
		}
	}
	usual := make([]dragonflyhatch.ReplicaChange, 24) // as many as a daemon sends
	if changes, err := decodeChanges(encodeChanges(usual)); err != nil || len(changes) != len(usual) {
		t.Errorf("%d of %d changes decoded: %v", len(changes), len(usual), err)
	}
}

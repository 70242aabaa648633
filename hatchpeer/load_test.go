package hatchpeer

import (
	"context"
	"fmt"
	"reflect"
	"testing"
	"time"

	"dragonflyhatch"
)

// TestLoadSurvivesEncoding guards against a field of the load that is lost, or an unknown
// age that turns into an age of zero, between two daemons.
func TestLoadSurvivesEncoding(t *testing.T) {
	process := dragonflyhatch.ReplicaProcess{ID: "r1", Address: "10.0.0.1:80", Started: 7}
	sent := dragonflyhatch.Gossip{
		StoreAge:        -1,
		StoreFailureAge: 1500 * time.Millisecond,
		QueueWaits:      []dragonflyhatch.QueueWait{{Address: "10.0.0.1:80", Wait: 40 * time.Millisecond, Running: 3, Waiting: 2, Age: time.Second}},
		RefusingReplicas: []dragonflyhatch.ReplicaRefusals{
			{Process: process, Refusals: 4, First: 2 * time.Second, Latest: 20 * time.Millisecond, Accepted: -1},
			{Process: process, Refusals: 1, First: time.Second, Latest: time.Second, Accepted: 0},
		},
		Demand: []dragonflyhatch.ServiceDemand{{
			Service: "lm", Ranks: []float64{120.5, 0, 7}, RunTime: 3 * time.Second,
			Organisations: []dragonflyhatch.OrganisationDemand{{Name: "acme", Work: 12}},
		}},
	}
	if got := decodeGossip(encodeGossip(sent)); !reflect.DeepEqual(got, sent) {
		t.Errorf("got  %+v\nwant %+v", got, sent)
	}
}

// TestSnapshotBytes guards against configurations and changes of registrations that are
// sent uncompressed between sites, and against changes that a peer cannot decode.
func TestSnapshotBytes(t *testing.T) {
	value := routesText(250)
	reply, err := (&fleetHandler{daemon: stubDaemon{7, value}}).Snapshot(context.Background(), &SnapshotRequest{})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("a configuration of 250 routes: %d bytes, %d sent", len(value), len(reply.GetValue()))
	if len(reply.GetValue()) > len(value)/5 {
		t.Errorf("%d bytes are sent of %d", len(reply.GetValue()), len(value))
	}
	for _, count := range []int{1, 24} {
		sent := dragonflyhatch.Gossip{StoreAge: -1}
		for i := range count {
			replica := dragonflyhatch.Replica{ID: fmt.Sprintf("lm-%x", i*7919), Service: "lm", Address: fmt.Sprintf("10.1.64.%d:8760", i), Revision: uint64(100 + i)}
			sent.ReplicaUpdates = append(sent.ReplicaUpdates, dragonflyhatch.ReplicaChange{Replica: replica, Removed: i%3 == 2, Expiry: time.Second})
		}
		message := encodeGossip(sent)
		t.Logf("%d changes: %d bytes", count, len(message.GetReplicaNews()))
		if got := decodeGossip(message); !reflect.DeepEqual(got, sent) || len(message.GetReplicaNews()) > 1<<10 {
			t.Errorf("%d changes in %d bytes: got %+v, want %+v", count, len(message.GetReplicaNews()), got, sent)
		}
	}
}

package hatchpeer

import (
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
		QueueWaits:      []dragonflyhatch.QueueWait{{Address: "10.0.0.1:80", Wait: 40 * time.Millisecond, Running: 3, Waiting: 2, Capacity: 90, Age: time.Second}},
		RefusingReplicas: []dragonflyhatch.ReplicaRefusals{
			{Process: process, Refusals: 4, First: 2 * time.Second, Latest: 20 * time.Millisecond, Accepted: -1},
			{Process: process, Refusals: 1, First: time.Second, Latest: time.Second, Accepted: 0},
		},
		EngineUsage: []dragonflyhatch.EngineUsage{{Process: process, Share: 0.75, Age: time.Second}},
		Demand: []dragonflyhatch.ServiceDemand{{
			Service: "lm", Ranks: []float64{120.5, 0, 7}, RunTime: 3 * time.Second,
			Organisations: []dragonflyhatch.OrganisationDemand{{Name: "acme", Work: 12}},
		}},
	}
	if got := decodeGossip(encodeGossip(sent)); !reflect.DeepEqual(got, sent) {
		t.Errorf("got  %+v\nwant %+v", got, sent)
	}
}

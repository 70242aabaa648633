// Package hatchpeer is the protocol between the daemons of a fleet, over twirp:
// orders handed to the owner of their claim shard, heartbeats with facts about
// the fleet, the accepted configuration, and records of recent requests.
package hatchpeer

//go:generate protoc --go_out=.. --go_opt=module=dragonflyhatch --twirp_out=.. --twirp_opt=module=dragonflyhatch peer.proto

// Package hatchpeer implements the protocols between daemons, over twirp. Peer
// forwards orders to the owner of their claim shard and exchanges heartbeats, the
// accepted configuration and records of recent requests. Fleet, between daemons on
// the platform, carries gossip, snapshots and requests for retry tokens.
package hatchpeer

//go:generate protoc --go_out=.. --go_opt=module=dragonflyhatch --twirp_out=.. --twirp_opt=module=dragonflyhatch peer.proto

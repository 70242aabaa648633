package dragonflyhatch

// Member is a daemon of a gateway as it describes itself.
type Member struct {
	Host          string `json:"host"`
	Site          string `json:"site"`
	Process       string `json:"process"` // name of this start of the daemon, used once
	CallerAddress string `json:"callerAddress"`
	PeerAddress   string `json:"peerAddress"`
	Leaving       bool   `json:"leaving"`
	StoreLost     bool   `json:"storeLost"`  // it does not reach the platform's store
	MilliCores    int    `json:"milliCores"` // of processor that the machine has
	Version       uint64 `json:"version"`    // raised with each change, also from process to process
}

// Gossip is what the daemons of a gateway tell each other.
type Gossip struct {
	From            Member
	Members         []Member // some that the sender knows
	MembersDigest   uint64   // of all of them; equal ones know the same members
	Suspects        []string // hosts that do not answer the sender
	LostReplicas    []string // addresses that do not answer the sender
	RoutingVersion  uint64
	ReplicasVersion uint64
	ReplicaNews     []ReplicaChange // the latest, oldest first
	ReplicaNewsFrom uint64          // version up to which all earlier changes count
	Leader          string          // host that places layers, as far as the sender knows
	Term            uint64          // of the leader
}

// ReplicaChange is one change of a registration.
type ReplicaChange struct {
	Replica Replica `json:"replica"` // the id and revision only, if removed
	Removed bool    `json:"removed,omitempty"`
}

// SnapshotKind names what a daemon hands to another as a whole.
type SnapshotKind int

// The values of SnapshotKind.
const (
	SnapshotRouting  SnapshotKind = iota // routing
	SnapshotReplicas                     // replicas
)

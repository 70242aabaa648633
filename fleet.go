package dragonflyhatch

import "time"

// Member describes a daemon of package hatchgateway. Each daemon publishes its
// own description.
type Member struct {
	Host          string `json:"host"`
	Site          string `json:"site"`
	Process       string `json:"process"` // unique name of this start of the daemon
	CallerAddress string `json:"callerAddress"`
	PeerAddress   string `json:"peerAddress"`
	Leaving       bool   `json:"leaving"`
	StoreLost     bool   `json:"storeLost"`  // the daemon cannot reach the platform's store
	MilliCores    int    `json:"milliCores"` // CPU of the machine in thousandths of a core
	Version       uint64 `json:"version"`    // increases with each change, also across processes of the host
}

// Gossip is the message that the daemons of package hatchgateway exchange
// periodically.
type Gossip struct {
	From               Member
	Members            []Member         // some of the members that the sender knows
	MembersDigest      uint64           // of all members that the sender knows; equal digests mean equal members
	Suspects           []string         // hosts that do not answer the sender
	LostReplicas       []string         // addresses that do not answer the sender
	QueueWaits         []QueueWait      // of engines, as observed lately by any daemon
	LeavingReplicas    []ReplicaProcess // processes that stated in a response that they are leaving
	ReplicaLimits      []ReplicaLimit   // limits that replicas have named, or ended, lately
	SuspectParts       []SuspectPart    // parts of prompts suspected of terminating replicas
	RefusingReplicas   []ReplicaRefusals
	Demand             []ServiceDemand // of services whose routes have different priorities
	RoutingVersion     uint64
	ReplicasVersion    uint64
	ReplicasDigest     uint64          // of the registrations that the sender knows; equal digests mean equal registrations
	StoreAge           time.Duration   // since the sender's versions were last confirmed by a read of the store; negative if unknown
	StoreFailureAge    time.Duration   // since any daemon last failed to reach the store; 0 if none is known, or if one has reached it since
	ReplicaUpdates     []ReplicaChange // the most recent changes, oldest first
	ReplicaUpdatesFrom uint64          // the changes apply only to a receiver that knows all changes up to this version
	Leader             string          // host that places layers, according to the sender
	Term               uint64          // term of the leader
}

// RateLimit is a replica's limit on the requests of all daemons together.
type RateLimit struct {
	PerSecond float64
	Named     LimitState
}

// LimitState defines what a response says of a limit.
type LimitState int

// The values of LimitState.
const (
	LimitAbsent  LimitState = iota // absent
	LimitNamed                     // named
	LimitInvalid                   // invalid
)

// ReplicaLimit is the limit that a replica's process named, or none if PerSecond is
// negative, and when it was observed.
type ReplicaLimit struct {
	Process   ReplicaProcess
	PerSecond float64
	Age       time.Duration
}

// SlotRequest asks for the right to send one request to a replica that names a limit.
type SlotRequest struct {
	Process   ReplicaProcess
	PerSecond float64 // limit that the replica names
	Urgent    bool    // the request resumes a stream
}

// SlotReply is the answer to a SlotRequest. If it is granted, the request may be sent
// after the wait; otherwise there is no slot within the wait.
type SlotReply struct {
	Granted bool
	Wait    time.Duration
}

// QueueWait is how long a stream is expected to wait in the queue of an engine, and the
// streams that it reported as the head of its pipeline.
type QueueWait struct {
	Address string
	Wait    time.Duration
	Running int           // streams; 0 if that is not known
	Waiting int           // streams
	Age     time.Duration // since it was observed
}

// ReplicaRefusals is what is known of a replica's process that has refused requests for
// lack of capacity since it last took one.
type ReplicaRefusals struct {
	Process  ReplicaProcess
	Refusals int           // number of refusals that are known
	First    time.Duration // since the first of them
	Latest   time.Duration // since the latest of them
	Accepted time.Duration // since the replica last took a request; negative if that is not known
}

// ServiceDemand is the work that callers ask of one daemon for a service, averaged over
// the daemons. Work is in tokens: those of the prompt, and those of the expected answer
// weighted by what they cost relative to a token of the prompt.
type ServiceDemand struct {
	Service       string
	Ranks         []float64            // work a second by rank, the most urgent first
	RunTime       time.Duration        // mean time that a stream runs
	Organisations []OrganisationDemand // those with the most work
}

// OrganisationDemand is the work a second that an organisation asks of one daemon,
// averaged over the daemons.
type OrganisationDemand struct {
	Name string
	Work float64
}

// ReplicaProcess identifies one process of a replica.
type ReplicaProcess struct {
	ID      string
	Address string
	Started int64 // Unix milliseconds
}

// Process returns the identity of the replica's process.
func (replica Replica) Process() ReplicaProcess {
	return ReplicaProcess{ID: replica.ID, Address: replica.Address, Started: replica.Started}
}

// ReplicaChange is a change to the registration of one replica.
type ReplicaChange struct {
	Replica Replica `json:"replica"` // only ID and Revision are set if Removed
	Removed bool    `json:"removed,omitempty"`
	// Expiry is how long a removed registration is still kept, as the replica may
	// register again, in nanoseconds.
	Expiry time.Duration `json:"expiry,omitempty"`
}

// SnapshotKind is a kind of state of which a daemon sends complete copies to its
// peers.
type SnapshotKind int

// The values of SnapshotKind.
const (
	SnapshotRouting  SnapshotKind = iota // routing
	SnapshotReplicas                     // replicas
)

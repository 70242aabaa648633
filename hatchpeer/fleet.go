package hatchpeer

import (
	"context"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"dragonflyhatch"
	"dragonflyhatch/hatchhead"
)

// FleetDaemon handles the calls that a daemon on the platform receives from its
// peers.
type FleetDaemon interface {
	// ExchangeGossip merges a peer's gossip and returns the daemon's own.
	ExchangeGossip(gossip dragonflyhatch.Gossip) dragonflyhatch.Gossip
	// GrantRetryTokens takes up to wanted retry tokens from the daemon's share of the
	// service's retry budget, and returns the number taken.
	GrantRetryTokens(service string, wanted int, urgent bool) int
	// Snapshot returns the daemon's routing configuration or its replicas as JSON, and
	// their version, which is 0 if the daemon has none.
	Snapshot(kind dragonflyhatch.SnapshotKind) (uint64, []byte)
	// GrantSlot grants a slot for a request to a replica that names a limit.
	GrantSlot(request dragonflyhatch.SlotRequest) dragonflyhatch.SlotReply
	// Quarantine returns the suspected parts of prompts as JSON. It first lifts the
	// suspicion of the given part, unless its ID is empty, and reports whether it did.
	Quarantine(lift dragonflyhatch.PromptPart) (parts []byte, lifted bool)
	// Preview returns as JSON where the described request would go now, and why. It
	// sends nothing.
	Preview(request []byte) ([]byte, error)
}

// NewFleetHandler returns the HTTP handler of the Fleet service for the daemon.
func NewFleetHandler(daemon FleetDaemon) http.Handler {
	return http.MaxBytesHandler(NewFleetServer(&fleetHandler{daemon: daemon}), maxFleetMessage)
}

type fleetHandler struct {
	daemon     FleetDaemon
	compressor compressor
}

// Gossip merges the gossip of a peer and returns the daemon's own.
func (handler *fleetHandler) Gossip(_ context.Context, message *GossipMessage) (*GossipMessage, error) {
	return encodeGossip(handler.daemon.ExchangeGossip(decodeGossip(message))), nil
}

// Snapshot returns the routing configuration or the replicas to a peer, compressed
// if they are large.
func (handler *fleetHandler) Snapshot(_ context.Context, request *SnapshotRequest) (*SnapshotReply, error) {
	kind := dragonflyhatch.SnapshotKind(request.GetKind())
	version, value := handler.daemon.Snapshot(kind)
	if len(value) < minCompressedSize {
		return &SnapshotReply{Version: version, Value: value}, nil
	}
	compressed, err := handler.compressor.compress(kind, value)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &SnapshotReply{Version: version, Value: compressed, Packed: true}, nil
}

// Lend grants a peer retry tokens from the daemon's share of a retry budget.
func (handler *fleetHandler) Lend(_ context.Context, request *LoanRequest) (*LoanReply, error) {
	return &LoanReply{Lent: int32(handler.daemon.GrantRetryTokens(request.GetService(), int(request.GetWanted()), request.GetUrgent()))}, nil
}

// TakeSlot grants a peer a slot for a request to a replica that names a limit.
func (handler *fleetHandler) TakeSlot(_ context.Context, request *TakeSlotRequest) (*TakeSlotReply, error) {
	reply := handler.daemon.GrantSlot(dragonflyhatch.SlotRequest{
		Process: decodeProcess(request.GetProcess()), PerSecond: request.GetPerSecond(), Urgent: request.GetUrgent(),
	})
	return &TakeSlotReply{Granted: reply.Granted, WaitMicros: uint32(min(reply.Wait.Microseconds(), math.MaxUint32))}, nil
}

// Quarantine returns the suspected parts of prompts to an operator, and lifts a suspicion.
func (handler *fleetHandler) Quarantine(_ context.Context, request *QuarantineRequest) (*QuarantineReply, error) {
	parts, lifted := handler.daemon.Quarantine(dragonflyhatch.PromptPart{Service: request.GetLiftService(), ID: request.GetLiftId()})
	return &QuarantineReply{Parts: parts, Lifted: lifted}, nil
}

const (
	// tokenRequestTimeout bounds a request for retry tokens. A stalled stream waits
	// for the response, and the smallest machines take this long when they are busy.
	tokenRequestTimeout = 100 * time.Millisecond
	// slotRequestTimeout bounds a request for a slot, for which a request waits.
	slotRequestTimeout = 100 * time.Millisecond
	// snapshotTimeout bounds the transfer of a snapshot. A compressed snapshot of
	// 2,000 routes takes 0.2 s over a link of 14 Mbit/s that several peers share.
	snapshotTimeout = time.Second
	// fleetDialTimeout bounds dialing a peer.
	fleetDialTimeout = 150 * time.Millisecond
	// fleetIdleTimeout closes idle connections to peers before a middlebox, such as
	// a NAT, drops their state.
	fleetIdleTimeout = 5 * time.Second
)

// Preview returns where the described request would go now, and why.
func (handler *fleetHandler) Preview(_ context.Context, request *PreviewRequest) (*PreviewReply, error) {
	preview, err := handler.daemon.Preview(request.GetRequest())
	if err != nil {
		return nil, twirp.InvalidArgumentError("request", err.Error())
	}
	return &PreviewReply{Preview: preview}, nil
}

// FleetClient calls the Fleet service of other daemons.
type FleetClient struct {
	http      *http.Client
	snapshots *http.Client  // for snapshots, which are larger than other replies
	timeout   time.Duration // of a gossip exchange
}

// NewFleetClient returns a client whose gossip exchanges take at most timeout.
func NewFleetClient(timeout time.Duration) *FleetClient {
	transport := hatchhead.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: fleetDialTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     fleetIdleTimeout,
		DisableCompression:  true, // the handler compresses a snapshot once for all peers

		MaxResponseHeaderBytes: maxFleetHeader,
	})
	return &FleetClient{
		timeout:   timeout,
		http:      &http.Client{Transport: boundedTransport{transport, maxFleetMessage}},
		snapshots: &http.Client{Transport: boundedTransport{transport, maxSnapshotReply}},
	}
}

// Gossip sends the gossip to the daemon at the address and returns that daemon's
// own.
func (client *FleetClient) Gossip(ctx context.Context, address string, gossip dragonflyhatch.Gossip) (dragonflyhatch.Gossip, error) {
	ctx, cancel := context.WithTimeout(ctx, client.timeout)
	defer cancel()
	reply, err := NewFleetProtobufClient("http://"+address, client.http).Gossip(ctx, encodeGossip(gossip))
	if err != nil {
		return dragonflyhatch.Gossip{}, errors.Wrapf(err, "peer %s", address)
	}
	return decodeGossip(reply), nil
}

// Snapshot returns the routing configuration or the replicas of the daemon at the
// address, as JSON, and their version.
func (client *FleetClient) Snapshot(ctx context.Context, address string, kind dragonflyhatch.SnapshotKind) (uint64, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	request := &SnapshotRequest{Kind: SnapshotKind(kind)}
	reply, err := NewFleetProtobufClient("http://"+address, client.snapshots).Snapshot(ctx, request)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "peer %s", address)
	}
	value := reply.GetValue()
	if reply.GetPacked() {
		if value, err = decompress(value, maxSnapshotSize); err != nil {
			return 0, nil, errors.Wrapf(err, "snapshot of peer %s", address)
		}
	}
	return reply.GetVersion(), value, nil
}

// RequestRetryTokens asks the daemon at the address for up to wanted tokens of the
// service's retry budget, and returns the number granted.
func (client *FleetClient) RequestRetryTokens(ctx context.Context, address, service string, wanted int, urgent bool) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, tokenRequestTimeout)
	defer cancel()
	reply, err := NewFleetProtobufClient("http://"+address, client.http).Lend(ctx, &LoanRequest{Service: service, Wanted: int32(wanted), Urgent: urgent})
	if err != nil {
		return 0, errors.Wrapf(err, "peer %s", address)
	}
	return int(reply.GetLent()), nil
}

// TakeSlot asks the daemon at the address for a slot for a request to a replica that
// names a limit.
func (client *FleetClient) TakeSlot(ctx context.Context, address string, request dragonflyhatch.SlotRequest) (dragonflyhatch.SlotReply, error) {
	ctx, cancel := context.WithTimeout(ctx, slotRequestTimeout)
	defer cancel()
	reply, err := NewFleetProtobufClient("http://"+address, client.http).TakeSlot(ctx, &TakeSlotRequest{
		Process: encodeProcess(request.Process), PerSecond: request.PerSecond, Urgent: request.Urgent,
	})
	if err != nil {
		return dragonflyhatch.SlotReply{}, errors.Wrapf(err, "peer %s", address)
	}
	return dragonflyhatch.SlotReply{Granted: reply.GetGranted(), Wait: time.Duration(reply.GetWaitMicros()) * time.Microsecond}, nil
}

// Quarantine returns the parts of prompts that the daemon at the address suspects, as
// JSON, after it has lifted the suspicion of the given part, unless its ID is empty.
func (client *FleetClient) Quarantine(ctx context.Context, address string, lift dragonflyhatch.PromptPart) (parts []byte, lifted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, client.timeout)
	defer cancel()
	reply, err := NewFleetProtobufClient("http://"+address, client.http).Quarantine(ctx, &QuarantineRequest{LiftService: lift.Service, LiftId: lift.ID})
	if err != nil {
		return nil, false, errors.Wrapf(err, "daemon %s", address)
	}
	return reply.GetParts(), reply.GetLifted(), nil
}

// Preview returns as JSON where the daemon at the address would send the described
// request now, and why. Nothing is sent to a replica.
func (client *FleetClient) Preview(ctx context.Context, address string, request []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, client.timeout)
	defer cancel()
	reply, err := NewFleetProtobufClient("http://"+address, client.http).Preview(ctx, &PreviewRequest{Request: request})
	if err != nil {
		return nil, errors.Wrapf(err, "daemon %s", address)
	}
	return reply.GetPreview(), nil
}

func encodeGossip(gossip dragonflyhatch.Gossip) *GossipMessage {
	message := &GossipMessage{
		From:              encodeMember(gossip.From),
		MembersDigest:     gossip.MembersDigest,
		Suspects:          gossip.Suspects,
		LostReplicas:      gossip.LostReplicas,
		RoutingVersion:    gossip.RoutingVersion,
		ReplicasVersion:   gossip.ReplicasVersion,
		ReplicasDigest:    gossip.ReplicasDigest,
		StoreAgeMs:        encodeAge(gossip.StoreAge),
		StoreFailureAgeMs: encodeFailureAge(gossip.StoreFailureAge),
		Leader:            gossip.Leader,
		Term:              gossip.Term,
	}
	for _, member := range gossip.Members {
		message.Members = append(message.Members, encodeMember(member))
	}
	for _, process := range gossip.LeavingReplicas {
		message.LeavingReplicas = append(message.LeavingReplicas, encodeProcess(process))
	}
	for _, wait := range gossip.QueueWaits {
		message.QueueWaits = append(message.QueueWaits, &QueueWait{
			Address: wait.Address, WaitMs: uint32(wait.Wait.Milliseconds()), AgeMs: uint32(wait.Age.Milliseconds()),
			Running: uint32(wait.Running), Waiting: uint32(wait.Waiting),
		})
	}
	for _, limit := range gossip.ReplicaLimits {
		message.ReplicaLimits = append(message.ReplicaLimits, &ReplicaLimit{
			Process: encodeProcess(limit.Process), PerSecond: limit.PerSecond, AgeMs: uint32(limit.Age.Milliseconds()),
		})
	}
	for _, suspect := range gossip.SuspectParts {
		message.SuspectParts = append(message.SuspectParts, encodeSuspect(suspect))
	}
	encodeLoad(message, gossip)
	if len(gossip.ReplicaUpdates) > 0 {
		if changes := encodeChanges(gossip.ReplicaUpdates); changes != nil {
			message.ReplicaNews, message.ReplicaNewsFrom = changes, gossip.ReplicaUpdatesFrom
		}
	}
	return message
}

func decodeGossip(message *GossipMessage) dragonflyhatch.Gossip {
	gossip := dragonflyhatch.Gossip{
		From:            decodeMember(message.GetFrom()),
		MembersDigest:   message.GetMembersDigest(),
		Suspects:        message.GetSuspects(),
		LostReplicas:    message.GetLostReplicas(),
		RoutingVersion:  message.GetRoutingVersion(),
		ReplicasVersion: message.GetReplicasVersion(),
		ReplicasDigest:  message.GetReplicasDigest(),
		StoreAge:        decodeAge(message.StoreAgeMs),
		StoreFailureAge: time.Duration(message.GetStoreFailureAgeMs()) * time.Millisecond,
		Leader:          message.GetLeader(),
		Term:            message.GetTerm(),
	}
	for _, member := range message.GetMembers() {
		gossip.Members = append(gossip.Members, decodeMember(member))
	}
	for _, process := range message.GetLeavingReplicas() {
		gossip.LeavingReplicas = append(gossip.LeavingReplicas, decodeProcess(process))
	}
	for _, wait := range message.GetQueueWaits() {
		gossip.QueueWaits = append(gossip.QueueWaits, dragonflyhatch.QueueWait{
			Address: wait.GetAddress(), Wait: time.Duration(wait.GetWaitMs()) * time.Millisecond, Age: time.Duration(wait.GetAgeMs()) * time.Millisecond,
			Running: int(wait.GetRunning()), Waiting: int(wait.GetWaiting()),
		})
	}
	for _, limit := range message.GetReplicaLimits() {
		gossip.ReplicaLimits = append(gossip.ReplicaLimits, dragonflyhatch.ReplicaLimit{
			Process: decodeProcess(limit.GetProcess()), PerSecond: limit.GetPerSecond(), Age: time.Duration(limit.GetAgeMs()) * time.Millisecond,
		})
	}
	for _, suspect := range message.GetSuspectParts() {
		gossip.SuspectParts = append(gossip.SuspectParts, decodeSuspect(suspect))
	}
	decodeLoad(&gossip, message)
	if encoded := message.GetReplicaNews(); len(encoded) > 0 {
		if changes, err := decodeChanges(encoded); err == nil { // otherwise this daemon fetches a snapshot
			gossip.ReplicaUpdates, gossip.ReplicaUpdatesFrom = changes, message.GetReplicaNewsFrom()
		}
	}
	return gossip
}

func encodeProcess(process dragonflyhatch.ReplicaProcess) *ReplicaProcess {
	return &ReplicaProcess{Id: process.ID, Address: process.Address, Started: process.Started}
}

func decodeProcess(message *ReplicaProcess) dragonflyhatch.ReplicaProcess {
	return dragonflyhatch.ReplicaProcess{ID: message.GetId(), Address: message.GetAddress(), Started: message.GetStarted()}
}

func encodeSuspect(suspect dragonflyhatch.SuspectPart) *SuspectPart {
	message := &SuspectPart{
		Service: suspect.Part.Service, Id: suspect.Part.ID,
		SoundAgeMs: encodeAge(suspect.SoundAge), TrialAgeMs: encodeAge(suspect.TrialAge),
	}
	for _, termination := range suspect.Terminations {
		message.Terminations = append(message.Terminations, &PartTermination{
			Process: termination.Process, Organisation: termination.Organisation, AgeMs: uint32(termination.Age.Milliseconds()),
		})
	}
	return message
}

func decodeSuspect(message *SuspectPart) dragonflyhatch.SuspectPart {
	suspect := dragonflyhatch.SuspectPart{
		Part:     dragonflyhatch.PromptPart{Service: message.GetService(), ID: message.GetId()},
		SoundAge: decodeAge(message.SoundAgeMs), TrialAge: decodeAge(message.TrialAgeMs),
	}
	for _, termination := range message.GetTerminations() {
		suspect.Terminations = append(suspect.Terminations, dragonflyhatch.PartTermination{
			Process: termination.GetProcess(), Organisation: termination.GetOrganisation(), Age: time.Duration(termination.GetAgeMs()) * time.Millisecond,
		})
	}
	return suspect
}

// encodeAge returns the age in milliseconds, or nil if it is negative, that is, unknown.
func encodeAge(age time.Duration) *uint32 {
	if age < 0 {
		return nil
	}
	millis := uint32(min(age.Milliseconds(), math.MaxUint32))
	return &millis
}

// encodeFailureAge returns the age in milliseconds, at least 1, or nil if it is 0, that
// is, if no failure is known.
func encodeFailureAge(age time.Duration) *uint32 {
	if age <= 0 {
		return nil
	}
	return encodeAge(max(age, time.Millisecond))
}

func decodeAge(millis *uint32) time.Duration {
	if millis == nil {
		return -1
	}
	return time.Duration(*millis) * time.Millisecond
}

func encodeMember(member dragonflyhatch.Member) *Member {
	return &Member{
		Host:          member.Host,
		Site:          member.Site,
		Process:       member.Process,
		CallerAddress: member.CallerAddress,
		PeerAddress:   member.PeerAddress,
		Leaving:       member.Leaving,
		StoreLost:     member.StoreLost,
		MilliCores:    uint32(member.MilliCores),
		Version:       member.Version,
	}
}

func decodeMember(member *Member) dragonflyhatch.Member {
	return dragonflyhatch.Member{
		Host:          member.GetHost(),
		Site:          member.GetSite(),
		Process:       member.GetProcess(),
		CallerAddress: member.GetCallerAddress(),
		PeerAddress:   member.GetPeerAddress(),
		Leaving:       member.GetLeaving(),
		StoreLost:     member.GetStoreLost(),
		MilliCores:    int(member.GetMilliCores()),
		Version:       member.GetVersion(),
	}
}

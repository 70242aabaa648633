package hatchpeer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"dragonflyhatch"
)

// FleetDaemon is what a gateway's daemon answers its peers with.
type FleetDaemon interface {
	// ExchangeGossip takes what a peer says and returns the daemon's own.
	ExchangeGossip(gossip dragonflyhatch.Gossip) dragonflyhatch.Gossip
	// Lend takes up to so many repeats out of the daemon's part of the service's
	// budget, and returns how many.
	Lend(service string, wanted int) int
	// Snapshot returns the routing or the replicas that the daemon knows, as
	// JSON, and the version; 0 if it knows none.
	Snapshot(kind dragonflyhatch.SnapshotKind) (uint64, []byte)
}

// NewFleetHandler serves the gateways' peer protocol for the daemon.
func NewFleetHandler(daemon FleetDaemon) http.Handler {
	return NewFleetServer(&fleetHandler{daemon: daemon})
}

type fleetHandler struct {
	daemon FleetDaemon
	packer packer
}

// Gossip exchanges facts with a peer.
func (server *fleetHandler) Gossip(_ context.Context, message *GossipMessage) (*GossipMessage, error) {
	return encodeGossip(server.daemon.ExchangeGossip(decodeGossip(message))), nil
}

// Snapshot hands what the daemon knows to a peer.
func (server *fleetHandler) Snapshot(_ context.Context, request *SnapshotRequest) (*SnapshotReply, error) {
	kind := dragonflyhatch.SnapshotKind(request.GetKind())
	version, value := server.daemon.Snapshot(kind)
	if len(value) < packedFrom {
		return &SnapshotReply{Version: version, Value: value}, nil
	}
	packed, err := server.packer.pack(kind, value)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &SnapshotReply{Version: version, Value: packed, Packed: true}, nil
}

// Lend gives a peer a part of the daemon's budget.
func (server *fleetHandler) Lend(_ context.Context, request *LoanRequest) (*LoanReply, error) {
	return &LoanReply{Lent: int32(server.daemon.Lend(request.GetService(), int(request.GetWanted())))}, nil
}

const (
	// loanTimeout bounds a question for a loan, for which a stream that stands
	// still waits: the time that the smallest machines take for a busy moment.
	loanTimeout = 100 * time.Millisecond
	// snapshotTimeout bounds the transfer of a snapshot: a compressed one of 2,000
	// routes takes 0.2 s over a link of 14 Mbit/s that several peers use at once.
	snapshotTimeout = time.Second
	// fleetDialTimeout bounds the opening of a connection to a peer.
	fleetDialTimeout = 150 * time.Millisecond
	// fleetIdleTime closes idle connections to peers before something between
	// them loses track of them.
	fleetIdleTime = 5 * time.Second
)

// FleetClient calls the daemons of a gateway.
type FleetClient struct {
	http    *http.Client
	timeout time.Duration // of an exchange of gossip
}

// NewFleetClient returns a client whose exchanges of gossip last at most timeout.
func NewFleetClient(timeout time.Duration) *FleetClient {
	return &FleetClient{timeout: timeout, http: &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: fleetDialTimeout}).DialContext,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     fleetIdleTime,
			DisableCompression:  true, // snapshots are compressed once for all peers
		},
	}}
}

// Gossip exchanges facts with the daemon at the address.
func (client *FleetClient) Gossip(ctx context.Context, address string, gossip dragonflyhatch.Gossip) (dragonflyhatch.Gossip, error) {
	ctx, cancel := context.WithTimeout(ctx, client.timeout)
	defer cancel()
	answer, err := NewFleetProtobufClient("http://"+address, client.http).Gossip(ctx, encodeGossip(gossip))
	if err != nil {
		return dragonflyhatch.Gossip{}, errors.Wrapf(err, "peer %s", address)
	}
	return decodeGossip(answer), nil
}

// Snapshot returns what the daemon at the address knows, as JSON, and the
// version.
func (client *FleetClient) Snapshot(ctx context.Context, address string, kind dragonflyhatch.SnapshotKind) (uint64, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	request := &SnapshotRequest{Kind: SnapshotKind(kind)}
	reply, err := NewFleetProtobufClient("http://"+address, client.http).Snapshot(ctx, request)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "peer %s", address)
	}
	value := reply.GetValue()
	if reply.GetPacked() {
		if value, err = unpack(value); err != nil {
			return 0, nil, errors.Wrapf(err, "snapshot of peer %s", address)
		}
	}
	return reply.GetVersion(), value, nil
}

// Borrow asks the daemon at the address for up to so many repeats of the
// service's budget, and returns how many it has lent.
func (client *FleetClient) Borrow(ctx context.Context, address, service string, wanted int) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	reply, err := NewFleetProtobufClient("http://"+address, client.http).Lend(ctx, &LoanRequest{Service: service, Wanted: int32(wanted)})
	if err != nil {
		return 0, errors.Wrapf(err, "peer %s", address)
	}
	return int(reply.GetLent()), nil
}

func encodeGossip(gossip dragonflyhatch.Gossip) *GossipMessage {
	message := &GossipMessage{
		From:            encodeMember(gossip.From),
		MembersDigest:   gossip.MembersDigest,
		Suspects:        gossip.Suspects,
		LostReplicas:    gossip.LostReplicas,
		RoutingVersion:  gossip.RoutingVersion,
		ReplicasVersion: gossip.ReplicasVersion,
		Leader:          gossip.Leader,
		Term:            gossip.Term,
	}
	for _, member := range gossip.Members {
		message.Members = append(message.Members, encodeMember(member))
	}
	if len(gossip.ReplicaNews) > 0 {
		news, err := json.Marshal(gossip.ReplicaNews)
		if err == nil { // plain structs always encode; without news the peer asks
			message.ReplicaNews, message.ReplicaNewsFrom = news, gossip.ReplicaNewsFrom
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
		Leader:          message.GetLeader(),
		Term:            message.GetTerm(),
	}
	for _, member := range message.GetMembers() {
		gossip.Members = append(gossip.Members, decodeMember(member))
	}
	if news := message.GetReplicaNews(); len(news) > 0 && json.Unmarshal(news, &gossip.ReplicaNews) == nil {
		gossip.ReplicaNewsFrom = message.GetReplicaNewsFrom()
	}
	return gossip
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

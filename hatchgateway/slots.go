package hatchgateway

import (
	"context"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchlimit"
)

// GrantSlot grants a slot for a request to a replica that names a limit.
func (gateway *Gateway) GrantSlot(request dragonflyhatch.SlotRequest) dragonflyhatch.SlotReply {
	gateway.slotMu.Lock()
	defer gateway.slotMu.Unlock()
	return gateway.slots.Take(time.Now(), request)
}

// TakeSlot takes a slot for a request to a replica that names a limit from the daemon
// that grants the slots of that replica. If that daemon does not answer, this one sends
// its equal part of the requests.
func (gateway *Gateway) TakeSlot(ctx context.Context, request dragonflyhatch.SlotRequest) dragonflyhatch.SlotReply {
	request.PerSecond = hatchlimit.SlotRate(request.PerSecond)
	gateway.mu.Lock()
	holder, ok := gateway.roster.Holder("slots/" + request.Process.ID + "/" + request.Process.Address)
	gateway.mu.Unlock()
	if ok && holder.Host == gateway.settings.Host {
		return gateway.GrantSlot(request)
	}
	if ok {
		reply, err := gateway.peers.TakeSlot(ctx, holder.PeerAddress, request)
		if err == nil {
			return reply
		}
		gateway.logger.Info("slot request failed", "host", holder.Host, "replica", request.Process.ID, "error", err)
	}
	request.PerSecond /= float64(gateway.Daemons())
	return gateway.GrantSlot(request)
}

// ReportLimit sends the limits that replicas name to peers.
func (gateway *Gateway) ReportLimit() {
	gateway.requestPush()
}

package hatchgateway

import "context"

// loanPeers is how many daemons are asked for a loan at the most.
const loanPeers = 3

// Lend takes up to so many repeats out of this daemon's part of the service's
// budget for a peer, and returns how many.
func (gateway *Gateway) Lend(service string, wanted int) int {
	return gateway.forwarder.Lend(service, wanted)
}

// Borrow asks some random peers in turn for repeats of the service's budget until
// one has lent some, and returns how many.
func (gateway *Gateway) Borrow(service string, wanted int) int {
	gateway.mu.Lock()
	peers := gateway.roster.Peers(gateway.random)
	gateway.mu.Unlock()
	for _, peer := range peers[:min(len(peers), loanPeers)] {
		lent, err := gateway.peers.Borrow(context.Background(), peer.PeerAddress, service, wanted)
		if err != nil {
			gateway.logger.Debug("no loan", "host", peer.Host, "service", service, "error", err)
			continue
		}
		if lent > 0 {
			gateway.logger.Info("repeats borrowed", "host", peer.Host, "service", service, "count", lent)
			return lent
		}
	}
	return 0
}

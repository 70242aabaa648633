package hatchgateway

import "context"

// loanPeers is how many daemons are asked for a loan at once. Each has a few
// repeats itself.
const loanPeers = 6

// Lend takes up to so many repeats out of this daemon's part of the service's
// budget for a peer, and returns how many.
func (gateway *Gateway) Lend(service string, wanted int) int {
	return gateway.forwarder.Lend(service, wanted)
}

// Borrow asks random peers for a repeat of the service's budget each, and calls
// credit with what they lend. It returns once one has lent or all have answered.
func (gateway *Gateway) Borrow(service string, credit func(lent int)) {
	gateway.mu.Lock()
	peers := gateway.roster.Peers(gateway.random)
	gateway.mu.Unlock()
	peers = peers[:min(len(peers), loanPeers)]
	answers := make(chan int, len(peers))
	for _, peer := range peers {
		go func() {
			lent, err := gateway.peers.Borrow(context.Background(), peer.PeerAddress, service, 1)
			if err != nil {
				gateway.logger.Debug("no loan", "host", peer.Host, "service", service, "error", err)
			}
			if lent > 0 {
				credit(lent)
			}
			answers <- lent
		}()
	}
	for range peers {
		if lent := <-answers; lent > 0 {
			gateway.logger.Info("repeats borrowed", "service", service)
			return
		}
	}
}

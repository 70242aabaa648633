package hatchgateway

import "context"

// maxTransferPeers bounds the peers that are asked for a retry token at the same
// time. Each has only a few tokens itself.
const maxTransferPeers = 6

// GrantRetryTokens grants a peer up to the wanted number of retry tokens from this
// daemon's share of the service's retry budget, and returns how many.
func (gateway *Gateway) GrantRetryTokens(service string, wanted int, urgent bool) int {
	return gateway.forwarder.GrantRetryTokens(service, wanted, urgent)
}

// RequestRetryTokens requests an equal part of the wanted retry tokens of the service,
// at least one, from each of some random peers and calls credit with the tokens granted.
// It returns once a peer has granted one or all have responded.
func (gateway *Gateway) RequestRetryTokens(service string, wanted int, urgent bool, credit func(granted int)) {
	gateway.mu.Lock()
	peers := gateway.roster.Peers(gateway.random)
	gateway.mu.Unlock()
	peers = peers[:min(len(peers), maxTransferPeers)]
	part := (wanted + len(peers) - 1) / max(len(peers), 1)
	grants := make(chan int, len(peers))
	for _, peer := range peers {
		go func() {
			granted, err := gateway.peers.RequestRetryTokens(context.Background(), peer.PeerAddress, service, part, urgent)
			if err != nil {
				gateway.logger.Debug("retry token request failed", "host", peer.Host, "service", service, "error", err)
			}
			if granted > 0 {
				credit(granted)
			}
			grants <- granted
		}()
	}
	for range peers {
		if granted := <-grants; granted > 0 {
			gateway.logger.Info("retry tokens granted by peer", "service", service)
			return
		}
	}
}

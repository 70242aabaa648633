package hatchpeer

import (
	"time"

	"dragonflyhatch"
)

// encodeLoad adds to the message what the gossip says of the load on the replicas.
func encodeLoad(message *GossipMessage, gossip dragonflyhatch.Gossip) {
	for _, refusals := range gossip.RefusingReplicas {
		message.RefusingReplicas = append(message.RefusingReplicas, &ReplicaRefusals{
			Process: encodeProcess(refusals.Process), Refusals: uint32(refusals.Refusals),
			FirstAgeMs: uint32(refusals.First.Milliseconds()), LatestAgeMs: uint32(refusals.Latest.Milliseconds()),
			AcceptedAgeMs: encodeAge(refusals.Accepted),
		})
	}
	for _, demand := range gossip.Demand {
		encoded := &ServiceDemand{Service: demand.Service, RunTimeMs: uint32(demand.RunTime.Milliseconds())}
		for _, work := range demand.Ranks {
			encoded.Ranks = append(encoded.Ranks, float32(work))
		}
		for _, organisation := range demand.Organisations {
			encoded.Organisations = append(encoded.Organisations, &OrganisationDemand{Name: organisation.Name, Work: float32(organisation.Work)})
		}
		message.Demand = append(message.Demand, encoded)
	}
}

// decodeLoad adds to the gossip what the message says of the load on the replicas.
func decodeLoad(gossip *dragonflyhatch.Gossip, message *GossipMessage) {
	for _, refusals := range message.GetRefusingReplicas() {
		gossip.RefusingReplicas = append(gossip.RefusingReplicas, dragonflyhatch.ReplicaRefusals{
			Process: decodeProcess(refusals.GetProcess()), Refusals: int(refusals.GetRefusals()),
			First:    time.Duration(refusals.GetFirstAgeMs()) * time.Millisecond,
			Latest:   time.Duration(refusals.GetLatestAgeMs()) * time.Millisecond,
			Accepted: decodeAge(refusals.AcceptedAgeMs),
		})
	}
	for _, demand := range message.GetDemand() {
		decoded := dragonflyhatch.ServiceDemand{Service: demand.GetService(), RunTime: time.Duration(demand.GetRunTimeMs()) * time.Millisecond}
		for _, work := range demand.GetRanks() {
			decoded.Ranks = append(decoded.Ranks, float64(work))
		}
		for _, organisation := range demand.GetOrganisations() {
			decoded.Organisations = append(decoded.Organisations, dragonflyhatch.OrganisationDemand{Name: organisation.GetName(), Work: float64(organisation.GetWork())})
		}
		gossip.Demand = append(gossip.Demand, decoded)
	}
}

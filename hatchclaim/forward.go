package hatchclaim

import (
	"dragonflyhatch"
)

// Forward decides where an order goes next and what its caller may be told.
// Handing the same order to several daemons is safe, since only one of them can
// get its claim; what must not happen is that one daemon's "not run" is passed
// on while another may still run it.
type Forward struct {
	hosts  []string // still to be tried, in order
	unsure bool     // a daemon took the order and gave no answer
}

// NewForward returns the decision for the hosts, by their right to own the
// order's shard. The last one should be the daemon itself.
func NewForward(hosts []string) *Forward {
	return &Forward{hosts: hosts}
}

// Next returns the host to hand the order to, or false if none is left.
func (forward *Forward) Next() (string, bool) {
	if len(forward.hosts) == 0 {
		return "", false
	}
	host := forward.hosts[0]
	forward.hosts = forward.hosts[1:]
	return host, true
}

// Silent notes that the last host got the order, or may have, and gave no
// answer.
func (forward *Forward) Silent() {
	forward.unsure = true
}

// Failed takes the failure that a host answered with. It returns the failure
// for the caller, or nil if the next host is to be tried.
func (forward *Forward) Failed(failure *dragonflyhatch.Failure) *dragonflyhatch.Failure {
	if failure.Kind == dragonflyhatch.KindLeaving || failure.Kind == dragonflyhatch.KindNotReady {
		return nil
	}
	if forward.unsure && failure.Kind.Answer().Ran == dragonflyhatch.RanNo {
		// The silent host may still get the claim once this host has given
		// it back, so even an upstream's refusal proves nothing here.
		return &dragonflyhatch.Failure{
			Kind:   dragonflyhatch.KindDeadlineUnknown,
			Detail: "another host may have run it: " + failure.Detail,
			Cause:  failure,
		}
	}
	return failure
}

// End returns the failure for the caller when no host is left to try.
func (forward *Forward) End(detail string) *dragonflyhatch.Failure {
	kind := dragonflyhatch.KindDeadlineNotRun
	if forward.unsure {
		kind = dragonflyhatch.KindDeadlineUnknown
	}
	return &dragonflyhatch.Failure{Kind: kind, Detail: detail}
}

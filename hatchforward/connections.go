package hatchforward

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
)

const (
	// maxKeptConns and maxKeptPerReplica bound the number of idle connections in all and to
	// one replica. A daemon sends a few plain requests a second; each connection costs both
	// sides a file and some KB.
	maxKeptConns      = 64
	maxKeptPerReplica = 4
	// maxKeptShare is the share of the connections that a service allows to each replica
	// which the idle ones of all daemons may take. The others are for requests.
	maxKeptShare = 0.5
	// maxKeptIdle is how long a connection is kept without a request, unless the replica
	// names a shorter time (Keep-Alive).
	maxKeptIdle = 10 * time.Second
	// keepAliveMargin is how long before the end of the time that the replica names a
	// connection is given up: the request must arrive before the replica closes it.
	keepAliveMargin = 500 * time.Millisecond
	// maxKeptUses is the number of requests after which a connection is closed. It bounds the
	// list of their ids.
	maxKeptUses = 64
	// keptCheckInterval is the pause between two checks of the idle connections.
	keptCheckInterval = 250 * time.Millisecond
	// keptProbeDelay is the time without a response on a kept connection after which the
	// replica is probed. With the time of a probe it is about dialTimeout, after which a new
	// connection would have found a dead replica.
	keptProbeDelay = 160 * time.Millisecond
)

// keptConn is an idle connection to a replica that has answered all of its requests.
type keptConn struct {
	conn    net.Conn
	process dragonflyhatch.ReplicaProcess
	until   time.Time // no request is sent on it from then on
	ids     []string  // of the requests that it has carried
}

// connKeeper keeps connections that plain safe requests have used completely.
type connKeeper struct {
	fleet Fleet

	mu     sync.Mutex
	kept   []*keptConn // the most recently used last
	timer  *time.Timer // of the next check; nil if none is due
	closed bool
}

func newConnKeeper(fleet Fleet) *connKeeper {
	return &connKeeper{fleet: fleet}
}

// take returns the connection to the process of the node that was used most recently, or nil
// if there is none. A connection that has carried a request with the same id is not used: a
// late copy of that answer could not be told from the answer to this one.
func (keeper *connKeeper) take(now time.Time, node *hatchpath.Node, id string) *keptConn {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	for i, kept := range slices.Backward(keeper.kept) {
		if kept.process != node.Process() || slices.Contains(kept.ids, id) {
			continue
		}
		keeper.kept = slices.Delete(keeper.kept, i, i+1)
		if keeper.isUsable(now, kept) {
			return kept
		}
		kept.conn.Close()
	}
	return nil
}

// keptPerReplica returns how many idle connections to one replica each of the daemons may
// keep, if the service allows maxConns to it from all daemons together, or any number if that is 0.
func keptPerReplica(maxConns, daemons int) int {
	if maxConns <= 0 {
		return maxKeptPerReplica
	}
	return min(maxKeptPerReplica, int(maxKeptShare*float64(maxConns))/max(daemons, 1))
}

// put keeps the connection, unless it is of no further use. If there are too many, or more
// than the limit to its replica, the one that has been idle for the longest time is closed.
func (keeper *connKeeper) put(now time.Time, kept *keptConn, limit int, header http.Header) {
	idle := keepAliveTime(header)
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	if keeper.closed || limit <= 0 || idle <= 0 || len(kept.ids) >= maxKeptUses {
		kept.conn.Close()
		return
	}
	kept.until = now.Add(idle)
	keeper.kept = append(keeper.kept, kept)
	sameReplica := func(other *keptConn) bool { return other.process.Address == kept.process.Address }
	count := 0
	for _, other := range keeper.kept {
		if sameReplica(other) {
			count++
		}
	}
	if count > limit {
		keeper.closeAt(slices.IndexFunc(keeper.kept, sameReplica))
	}
	if len(keeper.kept) > maxKeptConns {
		keeper.closeAt(0)
	}
	if keeper.timer == nil {
		keeper.timer = time.AfterFunc(keptCheckInterval, keeper.check)
	}
}

func (keeper *connKeeper) closeAt(i int) {
	keeper.kept[i].conn.Close()
	keeper.kept = slices.Delete(keeper.kept, i, i+1)
}

// check closes the connections that are of no further use, and goes on while there are
// others.
func (keeper *connKeeper) check() {
	now := time.Now()
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	keeper.kept = slices.DeleteFunc(keeper.kept, func(kept *keptConn) bool {
		usable := keeper.isUsable(now, kept)
		if !usable {
			kept.conn.Close()
		}
		return !usable
	})
	if keeper.timer = nil; len(keeper.kept) > 0 {
		keeper.timer = time.AfterFunc(keptCheckInterval, keeper.check)
	}
}

// isUsable reports whether a request may be sent on the idle connection: its idle time is not
// over, its replica is neither leaving, down nor replaced by another process, the replica has not
// closed it, and no bytes have arrived on it.
func (keeper *connKeeper) isUsable(now time.Time, kept *keptConn) bool {
	node := keeper.fleet.View().NodeAt(kept.process.Address)
	return now.Before(kept.until) && node != nil && node.Process() == kept.process &&
		!node.IsLeaving() && !node.IsDown(now) && isQuiet(kept.conn)
}

// closeAll closes all connections and keeps no others from then on.
func (keeper *connKeeper) closeAll() {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	keeper.closed = true
	for _, kept := range keeper.kept {
		kept.conn.Close()
	}
	keeper.kept = nil
}

// isQuiet reports whether the connection is open and nothing has arrived on it. It reads
// without waiting.
func isQuiet(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	var readErr error
	err = raw.Read(func(descriptor uintptr) bool {
		_, readErr = syscall.Read(int(descriptor), make([]byte, 1))
		return true
	})
	return err == nil && errors.Is(readErr, syscall.EAGAIN)
}

// keepAliveTime returns how long a connection may be idle after a response with the
// header, or 0 if it is to be closed.
func keepAliveTime(header http.Header) time.Duration {
	idle := maxKeptIdle
	for parameter := range strings.SplitSeq(strings.Join(header.Values("Keep-Alive"), ","), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		number, err := strconv.Atoi(strings.Trim(value, `"`))
		switch {
		case err != nil:
		case strings.EqualFold(name, "timeout"):
			idle = min(idle, time.Duration(min(max(number, 0), int(maxKeptIdle/time.Second)+1))*time.Second-keepAliveMargin)
		case strings.EqualFold(name, "max") && number <= 0:
			return 0
		}
	}
	return max(idle, 0)
}

// runClaims counts the runs of a plain request that its attempts may cause. It is safe for
// concurrent use.
type runClaims struct {
	mu        sync.Mutex
	remaining int // runs left, including those of attempts in progress
	running   int // attempts in progress
	resent    int // requests that were sent a second time within an attempt
}

// begin claims one of the remaining runs for a new attempt, and reports whether there was
// one.
func (claims *runClaims) begin(remaining int) bool {
	claims.mu.Lock()
	defer claims.mu.Unlock()
	claims.remaining = remaining
	if !claims.left() {
		return false
	}
	claims.running++
	return true
}

// left reports whether a run is left that nothing has claimed. claims.mu must be held.
func (claims *runClaims) left() bool {
	return claims.running+claims.resent < claims.remaining
}

// mayClaim reports whether a run is left that nothing has claimed.
func (claims *runClaims) mayClaim() bool {
	claims.mu.Lock()
	defer claims.mu.Unlock()
	return claims.left()
}

// end ends an attempt, after which the given number of runs remain.
func (claims *runClaims) end(remaining int) {
	claims.mu.Lock()
	defer claims.mu.Unlock()
	claims.remaining = remaining
	claims.running--
}

// resend claims a run for sending the request again within an attempt, since it may have
// run already, and reports whether there was one.
func (claims *runClaims) resend() bool {
	claims.mu.Lock()
	defer claims.mu.Unlock()
	if !claims.left() {
		return false
	}
	claims.resent++
	return true
}

// undoResend gives back the run that resend has claimed, since the second copy of the request
// was not sent. The first copy still counts as the run of the attempt.
func (claims *runClaims) undoResend() {
	claims.mu.Lock()
	defer claims.mu.Unlock()
	claims.resent--
}

// Package reach decides whether a daemon has itself lost the replicas of a service.
//
// A connection that fails says nothing about which end is at fault. A daemon that is partitioned from all replicas sees
// each of them fail, one after the other, while they serve every other daemon. The package therefore counts distinct
// replicas: when all of a service's have failed, or several of any service in a row and none was reached meanwhile, the
// path from this daemon is lost, whatever state the replicas are in.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness.
package reach

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// failureTTL is how long a failure counts. A replica that accepts no connections is probed again within this time.
	failureTTL = 5 * time.Second
	// isolationFailures is the number of distinct replicas that must fail in a row, with none reached in between, for
	// all replicas to count as lost. Fewer replicas fail together when one VM or rack is lost.
	isolationFailures = 3
	// suspicionFailures is the number of those failures from which other replicas are probed.
	suspicionFailures = 2
)

// ReplicaID identifies one incarnation of a replica.
type ReplicaID uint64

// Tracker records which replicas a daemon reached and which it did not. The zero value is ready to use; it is not safe
// for concurrent use.
type Tracker struct {
	failed    map[routing.ServiceID]map[ReplicaID]time.Time // since a replica of the service was last reached
	reachedAt time.Time                                     // when any replica was last reached
}

// OnReached records that a replica accepted a connection or answered.
func (t *Tracker) OnReached(now time.Time, service routing.ServiceID) {
	t.reachedAt = now
	delete(t.failed, service)
}

// OnFailed records that no connection to a replica could be opened.
func (t *Tracker) OnFailed(now time.Time, service routing.ServiceID, replica ReplicaID) {
	if t.failed == nil {
		t.failed = map[routing.ServiceID]map[ReplicaID]time.Time{}
	}
	if t.failed[service] == nil {
		t.failed[service] = map[ReplicaID]time.Time{}
	}
	t.failed[service][replica] = now
}

// Prune drops failures that no longer count.
func (t *Tracker) Prune(now time.Time) {
	for service, failed := range t.failed {
		for replica, at := range failed {
			if now.Sub(at) > failureTTL {
				delete(failed, replica)
			}
		}
		if len(failed) == 0 {
			delete(t.failed, service)
		}
	}
}

// Failed reports whether a replica has failed since one of its service was last reached.
func (t *Tracker) Failed(now time.Time, service routing.ServiceID, replica ReplicaID) bool {
	at, failed := t.failed[service][replica]
	return failed && now.Sub(at) <= failureTTL
}

// Any reports whether any failure is recorded.
func (t *Tracker) Any() bool { return len(t.failed) > 0 }

// Lost reports whether this daemon reaches none of the known replicas of a service. A service without known replicas is
// not lost: no daemon reaches it.
func (t *Tracker) Lost(now time.Time, service routing.ServiceID, known []ReplicaID) bool {
	if len(known) == 0 {
		return false
	}
	return t.Isolated(now) || t.allFailed(now, service, known)
}

func (t *Tracker) allFailed(now time.Time, service routing.ServiceID, known []ReplicaID) bool {
	for _, replica := range known {
		if !t.Failed(now, service, replica) {
			return false
		}
	}
	return true
}

// Isolated reports whether this daemon reaches no replica of any service.
func (t *Tracker) Isolated(now time.Time) bool { return t.failuresInARow(now) >= isolationFailures }

// Suspected reports whether other replicas are to be probed, because this daemon may have lost the path to them.
func (t *Tracker) Suspected(now time.Time) bool { return t.failuresInARow(now) >= suspicionFailures }

// failuresInARow returns the number of distinct replicas that failed after any replica was last reached.
func (t *Tracker) failuresInARow(now time.Time) int {
	n := 0
	for _, failed := range t.failed {
		for _, at := range failed {
			if at.After(t.reachedAt) && now.Sub(at) <= failureTTL {
				n++
			}
		}
	}
	return n
}

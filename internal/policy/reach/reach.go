// Package reach decides whether a daemon has itself lost the replicas of a service.
//
// A connection that fails says nothing about which end is at fault. A daemon that is partitioned from all replicas sees
// each of them fail, one after the other, while they serve every other daemon. The package therefore counts distinct
// replicas: when all of a service's have failed, or several of any service in a row and none was reached meanwhile, the
// path from this daemon is lost, whatever state the replicas are in.
//
// A replica that was never reached may never have existed: its entry may come from another writer. As long as replicas are known
// that were reached, failures of others tell nothing of the path.
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
	failed    map[routing.ServiceID]map[ReplicaID]failure // since a replica of the service was last reached
	reachedAt time.Time                                   // when any replica was last reached
	proven    int                                         // known replicas that were ever reached
}

// failure is the last failure of a replica.
type failure struct {
	at     time.Time
	proven bool // the replica was reached before
}

// SetProven sets the number of known replicas that were ever reached.
func (t *Tracker) SetProven(replicas int) { t.proven = replicas }

// OnReached records that a replica accepted a connection or answered.
func (t *Tracker) OnReached(now time.Time, service routing.ServiceID) {
	t.reachedAt = now
	delete(t.failed, service)
}

// OnFailed records that no connection to a replica could be opened. proven is set if one was opened before.
func (t *Tracker) OnFailed(now time.Time, service routing.ServiceID, replica ReplicaID, proven bool) {
	if t.failed == nil {
		t.failed = map[routing.ServiceID]map[ReplicaID]failure{}
	}
	if t.failed[service] == nil {
		t.failed[service] = map[ReplicaID]failure{}
	}
	t.failed[service][replica] = failure{at: now, proven: proven}
}

// Prune drops failures that no longer count.
func (t *Tracker) Prune(now time.Time) {
	for service, failed := range t.failed {
		for replica, f := range failed {
			if now.Sub(f.at) > failureTTL {
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
	f, failed := t.failed[service][replica]
	return failed && now.Sub(f.at) <= failureTTL
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

// Exhausted reports whether a service is lost and no replica is worth an attempt: all have failed, or replicas that were reached
// before. Until one was reached, the replicas that have not failed yet may be the only ones that exist.
func (t *Tracker) Exhausted(now time.Time, service routing.ServiceID, known []ReplicaID) bool {
	return t.Lost(now, service, known) && (t.proven > 0 || t.allFailed(now, service, known))
}

func (t *Tracker) allFailed(now time.Time, service routing.ServiceID, known []ReplicaID) bool {
	for _, replica := range known {
		if !t.Failed(now, service, replica) {
			return false
		}
	}
	return true
}

// Isolated reports whether this daemon reaches no replica of any service. Of the failures in a row, as many as isolation takes
// must be of replicas that were reached before, or all of these if fewer are known.
func (t *Tracker) Isolated(now time.Time) bool {
	all, proven := t.failuresInARow(now)
	return all >= isolationFailures && proven >= min(isolationFailures, t.proven)
}

// Suspected reports whether other replicas are to be probed, because this daemon may have lost the path to them.
func (t *Tracker) Suspected(now time.Time) bool {
	all, _ := t.failuresInARow(now)
	return all >= suspicionFailures
}

// failuresInARow returns the number of distinct replicas that failed after any replica was last reached, and how many of them
// were reached before.
func (t *Tracker) failuresInARow(now time.Time) (all, proven int) {
	for _, failed := range t.failed {
		for _, f := range failed {
			if !f.at.After(t.reachedAt) || now.Sub(f.at) > failureTTL {
				continue
			}
			all++
			if f.proven {
				proven++
			}
		}
	}
	return all, proven
}

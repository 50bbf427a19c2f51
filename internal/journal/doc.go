// Package journal ensures that a call that is not idempotent runs at most once.
//
// Keys are hashed to partitions. The state of a partition is stored in the platform's
// key-value (KV) service: a record called the head, and pages for older results. The
// daemon that holds the partition's lease writes the intent to run a key by
// compare-and-swap before the call is dispatched, and the result after the call ended.
// Writes are group commits: one write contains every key that waits at that time. A new
// holder writes the head under its higher epoch, which makes every later write of the
// previous holder fail. A key with an intent, no result and no ticket open at the holder
// is in doubt until its retention ends: the call may have run and never runs again.
//
// Safety depends on the compare-and-swap of the head alone: the holder issues a ticket
// only after the write that contains its intent is confirmed. Leases only prevent two
// daemons from overwriting the head in turns.
//
// During an outage of the KV service the journal refuses new keys as not run, because no
// intent can be written, and still answers results that it knows.
// docs/design/journal.md compares this with continuing in memory.
//
// The type partition contains the logic without I/O; the type worker does its I/O.
package journal

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Begin, Finish, Abort, MarkInDoubt and Holder. Each states whether the call ran.
var (
	// ErrNotHolder reports that another daemon or no daemon holds the key's partition.
	// From Begin: the call did not run. From Finish, Abort and MarkInDoubt: the outcome
	// could not be written, and the key is in doubt for other daemons.
	ErrNotHolder = errors.New("journal: partition not held here")
	// ErrInProgress reports that another attempt of the key is running; the key is in
	// doubt until that attempt ends. This attempt did not run.
	ErrInProgress = errors.New("journal: key in progress")
	// ErrInDoubt reports that the key may have run. This attempt did not run, and no later
	// attempt will.
	ErrInDoubt = errors.New("journal: key in doubt")
	// ErrKeyReused reports a key that was used for a different call. This call did not run.
	ErrKeyReused = errors.New("journal: key used for another call")
	// ErrResultNotKept reports that the call ran and its result is no longer kept.
	ErrResultNotKept = errors.New("journal: call ran, result not kept")
	// ErrUnavailable reports that the intent or the outcome could not be written in
	// time. From Begin: the call did not run. From Finish, Abort and MarkInDoubt: the
	// outcome is written later unless this process ends first; then the key is in doubt.
	ErrUnavailable = errors.New("journal: unavailable")
	// ErrKeyTooOld reports a key first sent longer ago than the retention period: it is in doubt.
	ErrKeyTooOld = errors.New("journal: key older than the retention period")
	// ErrNoHolder reports a partition that no daemon holds now: the call did not run.
	ErrNoHolder = errors.New("journal: partition has no holder")
	// ErrPartitionCount reports that the number of partitions in the KV service differs
	// from the settings. This daemon would look up keys in the wrong partition, and
	// calls could run twice.
	ErrPartitionCount = errors.New("journal: number of partitions differs from the settings")
)

// FullError reports a partition without capacity for new keys: the call did not run. It
// matches ErrUnavailable.
type FullError struct {
	RetryAfter time.Duration // until the retention of the oldest keys ends
}

// Error implements the error interface.
func (e *FullError) Error() string { return "journal: partition full" }

// Is makes a FullError match ErrUnavailable.
func (e *FullError) Is(target error) bool { return target == ErrUnavailable }

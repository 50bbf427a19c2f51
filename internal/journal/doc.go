// Package journal sees to it that a call that may not be repeated runs at most once.
//
// Keys are spread over partitions. A partition's state is a record in the platform's
// key-value service, its head, with pages for older results. The holder of the
// partition's lease writes the intent to run a key by compare-and-swap before the
// call is dispatched, and the result after it; one write serves all the keys that
// wait for one. A new holder writes the head under its higher epoch, which makes
// every later write of the former one fail. A key with an intent and no result whose
// ticket is not in the holder's hands is in doubt for as long as it is kept: it may
// have run, so it never runs again.
//
// Safety rests on the compare-and-swap of the head alone: no ticket is given before
// the write that holds its intent is known to have taken effect. Leases only keep
// two daemons from taking turns at the head.
//
// In an outage of the service new keys are refused as not run, since no intent can
// be written; results already known are still answered. docs/design/journal.md
// weighs this against going on in memory.
//
// The type partition is the pure core; the shell around it does the calls.
package journal

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Begin, Finish, Abort, MarkInDoubt and Holder. Each tells whether the call ran.
var (
	// ErrNotHolder reports that another daemon holds the key's partition, or none
	// does. From Begin: did not run. From Finish, Abort and MarkInDoubt: the outcome could
	// not be written, and others see the key as in doubt.
	ErrNotHolder = errors.New("journal: partition not held here")
	// ErrInProgress reports that the key runs now: in doubt until it ends. This try
	// did not run.
	ErrInProgress = errors.New("journal: key in progress")
	// ErrInDoubt reports that the key may have run. This try did not run, and none will.
	ErrInDoubt = errors.New("journal: key in doubt")
	// ErrKeyReused reports a key that stands for another call. This call did not run.
	ErrKeyReused = errors.New("journal: key used for another call")
	// ErrResultNotKept reports that the key ran and its result is no longer kept.
	ErrResultNotKept = errors.New("journal: ran, result not kept")
	// ErrUnavailable reports that the intent or the outcome could not be written in
	// time. From Begin: did not run. From Finish, Abort and MarkInDoubt: it is written later
	// if this process lives; else the key is in doubt.
	ErrUnavailable = errors.New("journal: unavailable")
	// ErrKeyTooOld reports a key first sent longer ago than keys are kept: in doubt.
	ErrKeyTooOld = errors.New("journal: key older than keys are kept")
	// ErrNoHolder reports a partition that nobody holds at the moment: did not run.
	ErrNoHolder = errors.New("journal: partition has no holder")
	// ErrPartitionCount reports that the service's journal has another number of
	// partitions than the settings. Keys would be looked for in the wrong place, and
	// could run twice.
	ErrPartitionCount = errors.New("journal: number of partitions differs from the settings")
)

// FullError reports a partition without room for new keys: did not run. It matches
// ErrUnavailable.
type FullError struct {
	RetryAfter time.Duration // until the oldest keys need no longer be kept
}

// Error implements the error interface.
func (e *FullError) Error() string { return "journal: partition full" }

// Is makes a FullError match ErrUnavailable.
func (e *FullError) Is(target error) bool { return target == ErrUnavailable }

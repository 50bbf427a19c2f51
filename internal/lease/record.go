// Package lease implements exclusive leases on names, based on records in the platform's
// key-value service. Each holder of a name gets a higher epoch (fencing number) than all before.
//
// A process keeps one platform lease alive, its session, which all its names share. The cost of
// holding names therefore grows with the number of processes and not of names. The record of a
// name is permanent and contains the epoch, the holder and the holder's session. Once that
// session has expired, a new holder raises the epoch by compare-and-swap.
//
// A holder may be paused between its last check of Valid and the effect of its next action.
// Effects must therefore be conditional on the epoch wherever the receiver can check it. For
// other receivers, Lease.MayAct makes conflicts unlikely: the holder sends no order unless the
// order's timeout and a margin end before the lease does, and the next holder waits
// Options.WaitAfterTakeover before its first order. An order that the network or a paused
// process delays by more than the sum of these times can still take effect too late.
//
// The service may be restored from a backup that is some seconds old and lacks records and
// sessions. All earlier leases are then void. A session can be renewed in its own era only.
// Claims wait until the last earlier holder can't rely on its lease any more, count as takeovers,
// and get epochs above all that the previous era can have assigned.
//
// In a long outage of the service, leases expire by their holders' own clocks, and no name is
// held until the outage is over.
package lease

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/bounds"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	recordPrefix  = "lease/"
	sessionPrefix = "session/"
)

// Errors of this package.
var (
	// ErrHeld reports that another process holds the name. errors.As with *HeldError returns
	// the holder.
	ErrHeld = errors.New("lease: held by another process")
	// ErrUnavailable reports that the key-value service gave no definite response. The call may or
	// may not have taken effect.
	ErrUnavailable = errors.New("lease: key-value service unavailable")
)

// Holder is the process that holds a name.
type Holder struct {
	ID      request.DaemonID
	Address string // peer address
	Epoch   uint64
}

// HeldError is returned by Acquire and contains the current holder.
type HeldError struct {
	Holder Holder
}

// Error implements the error interface.
func (e *HeldError) Error() string { return "lease: held by " + string(e.Holder.ID) }

// Is makes a HeldError match ErrHeld.
func (e *HeldError) Is(target error) bool { return target == ErrHeld }

// record is the persistent state of a name. An empty session means that the name was released.
type record struct {
	Epoch   uint64           `json:"epoch"`
	Holder  request.DaemonID `json:"holder,omitempty"`
	Address string           `json:"address,omitempty"`
	Session platform.LeaseID `json:"session,omitempty"`

	unreadable bool // the entry is of another writer; who held the name is not known
}

const (
	// maxEpoch is the largest epoch that a record can name. Epochs of all eras fit in a signed number.
	maxEpoch = 1<<63 - 1
	// lastRaised is the last epoch that a claim raises: what it writes must be readable. No sound epoch comes near it.
	lastRaised = maxEpoch - 1<<32
)

// highestEpoch returns an epoch that no holder before a revision can have exceeded: each claim took a revision of its own.
func highestEpoch(at platform.Revision) uint64 {
	return uint64(platform.NewRevision(at.Era()+1, at.Number()))
}

// MaxEpoch returns the highest epoch that a process which holds a name can have written in an entry of a revision.
func MaxEpoch(at platform.Revision) uint64 {
	if at.Era() == 0 { // not reported; earlier epochs may be of any era
		return lastRaised
	}
	return highestEpoch(at)
}

// validate returns an error that names the first field that can't be in a record of a revision.
func (r record) validate(at platform.Revision) error {
	highest := uint64(maxEpoch)
	if at.Era() != 0 {
		highest = highestEpoch(at)
	}
	if r.Epoch > highest {
		return errors.Newf("epoch: %d, want at most %d", r.Epoch, highest)
	}
	return nil
}

// claimable returns the record as a claim may raise it. An epoch that can't be raised is of another writer.
func (r record) claimable(at platform.Revision) record {
	if r.Epoch <= MaxEpoch(at) {
		return r
	}
	r.Epoch, r.unreadable = highestEpoch(at), r.Session == ""
	return r
}

func (r record) encode() []byte {
	b, _ := json.Marshal(r) // plain fields: can't fail
	return b
}

// decodeRecord decodes and validates a record. Its error is brief and names the field.
func decodeRecord(e platform.Entry) (record, error) {
	var r record
	err := bounds.Decode(e.Value, &r)
	if err == nil {
		err = r.validate(e.Revision)
	}
	return r, errors.Wrap(err, "decode lease record")
}

// RecordPrefix is the prefix of the keys of records.
const RecordPrefix = recordPrefix

// HolderIn returns the holder in the entry of a name's record, or the zero Holder if the name was
// released. The holder's session may have expired since.
func HolderIn(e platform.Entry) (Holder, error) {
	r, err := decodeRecord(e)
	if err != nil || r.Session == "" {
		return Holder{}, err
	}
	return r.holder(), nil
}

func (r record) holder() Holder {
	return Holder{ID: r.Holder, Address: r.Address, Epoch: r.Epoch}
}

func (r record) released() record { return record{Epoch: r.Epoch} }

// next returns the record of a new holder. Every claim raises the epoch, even if the record
// already refers to the claiming process's session: an earlier write of the process may have
// been delayed and could otherwise succeed later at the same revision.
func (r record) next(self Holder, session platform.LeaseID) record {
	return record{Epoch: r.Epoch + 1, Holder: self.ID, Address: self.Address, Session: session}
}

// validity determines until when a session is valid. It counts from the time at which the last
// successful call was sent, because the key-value service counts from that time or later.
type validity struct {
	sent   time.Time
	ttl    time.Duration
	margin time.Duration
}

// remaining returns the time for which the holder may still act. It uses the larger of the
// monotonic and the wall clock's elapsed time, because the monotonic clock stops while a VM is
// suspended. A jump of the wall clock can only shorten the result.
func (v validity) remaining(now time.Time) time.Duration {
	elapsed := max(now.Sub(v.sent), now.Round(0).Sub(v.sent.Round(0)))
	return v.ttl - v.margin - elapsed
}

// Package lease gives names to one holder at a time, each time under a higher epoch
// (fencing number), by records in the platform's key-value service.
//
// A process keeps one platform lease alive, its session, which all its names share,
// so that the cost of holding grows with processes and not with names. The record of
// a name stays for good; it tells the epoch, the holder and the holder's session. A
// new holder raises the epoch by compare-and-swap once that session has lapsed.
//
// What can't be excluded: a holder may be paused between its last check of Valid and
// the effect of what it does next. So each effect must be conditional on the epoch
// where the other side can check it. Where it can't, Lease.MayAct makes harm
// unlikely: the holder stops an order's timeout and a margin before its own lease
// ends, and the next holder waits Options.WaitAfterTakeover before its first order.
// An order that is delayed by more than all of these, in a network or in a paused
// process, still arrives late.
//
// The service may come back from a copy of some seconds ago, and have lost records and sessions.
// All leases of before are then void: a session renews in its own era only, claims wait until the
// last holder of before can't rely on its lease any more, count as takeovers, and take epochs
// above all that the era before can have given.
//
// In a long outage of the service the leases lapse by the holder's own clock, and
// nobody holds anything until it is over.
package lease

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	recordPrefix  = "lease/"
	sessionPrefix = "session/"
)

// Errors of this package.
var (
	// ErrHeld reports a name that another process holds; errors.As to *HeldError
	// tells which.
	ErrHeld = errors.New("lease: held by another process")
	// ErrUnavailable reports that the key-value service did not settle the call.
	ErrUnavailable = errors.New("lease: key-value service unavailable")
)

// Holder is the process that holds a name.
type Holder struct {
	ID      request.DaemonID
	Address string // peer address
	Epoch   uint64
}

// HeldError carries the holder that Acquire met.
type HeldError struct {
	Holder Holder
}

// Error implements the error interface.
func (e *HeldError) Error() string { return "lease: held by " + string(e.Holder.ID) }

// Is makes a HeldError match ErrHeld.
func (e *HeldError) Is(target error) bool { return target == ErrHeld }

// record is the lasting state of a name. An empty session means released.
type record struct {
	Epoch   uint64           `json:"epoch"`
	Holder  request.DaemonID `json:"holder,omitempty"`
	Address string           `json:"address,omitempty"`
	Session platform.LeaseID `json:"session,omitempty"`
}

func (r record) encode() []byte {
	b, _ := json.Marshal(r) // plain fields: can't fail
	return b
}

func decodeRecord(value []byte) (record, error) {
	var r record
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode lease record")
}

// RecordPrefix begins the keys of the records of names.
const RecordPrefix = recordPrefix

// HolderIn reads the holder from the entry of a name's record; the zero Holder if it was
// released. The holder's session may have lapsed since.
func HolderIn(e platform.Entry) (Holder, error) {
	r, err := decodeRecord(e.Value)
	if err != nil || r.Session == "" {
		return Holder{}, err
	}
	return r.holder(), nil
}

func (r record) holder() Holder {
	return Holder{ID: r.Holder, Address: r.Address, Epoch: r.Epoch}
}

func (r record) released() record { return record{Epoch: r.Epoch} }

// next is the record of a new holder. Every claim raises the epoch, also that of a
// process that finds its own session in the record: its former write may have been
// delayed and could otherwise land later at the same revision.
func (r record) next(self Holder, session platform.LeaseID) record {
	return record{Epoch: r.Epoch + 1, Holder: self.ID, Address: self.Address, Session: session}
}

// validity tells until when a session may be relied on. It starts at the time at
// which the last answered call was sent: the service counts from no earlier.
type validity struct {
	sent   time.Time
	ttl    time.Duration
	margin time.Duration
}

// left is the time for which the holder may still act. The monotonic clock decides;
// the wall clock is asked too, because the monotonic one stands still while a VM is
// suspended. A jump of the wall clock can only shorten the time.
func (v validity) left(now time.Time) time.Duration {
	elapsed := max(now.Sub(v.sent), now.Round(0).Sub(v.sent.Round(0)))
	return v.ttl - v.margin - elapsed
}

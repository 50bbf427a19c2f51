// Package platform is the interface to what the platform gives: the key-value
// service and the VM list. Everything that must outlive a daemon goes through KV.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Revision orders writes of the key-value service. Zero stands for an absent key.
//
// A service may come back from a copy of some seconds ago, and then gives the numbers of the writes
// that it lost out again. Each return begins another era, which counts before the number: what
// was read in an older era is older, whatever its number.
type Revision uint64

// eraShift is the number of bits below an era. At 10,000 writes a second they last for three
// years.
const eraShift = 40

// NewRevision returns the revision of a number in an era.
func NewRevision(era, number uint64) Revision { return Revision(era<<eraShift | number) }

// Era returns how often the service has come back from a copy; zero where it doesn't tell.
func (r Revision) Era() uint64 { return uint64(r) >> eraShift }

// Number returns what the service itself calls the revision.
func (r Revision) Number() uint64 { return uint64(r) & (1<<eraShift - 1) }

// LeaseID names a lease of the key-value service.
type LeaseID string

// Entry is one key with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
	Deleted  bool
}

// Errors of KV. Test for them with errors.Is.
var (
	// ErrNotFound reports an absent key or a lapsed lease.
	ErrNotFound = errors.New("platform: not found")
	// ErrConflict reports a compare-and-swap whose expected revision was not current;
	// the write had no effect. errors.As to *ConflictError gives the current entry. A
	// revision of an older era is never current.
	ErrConflict = errors.New("platform: conflict")
	// ErrUnavailable reports that the service did not answer; a read can be repeated.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUncertain reports a write that may or may not have taken effect and could not
	// be settled in time. The caller must read before it acts again.
	ErrUncertain = errors.New("platform: write outcome unknown")
	// ErrTooLarge reports a value above the service's cap.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrCompacted reports a watch from a revision whose history is gone; the prefix must
	// be listed anew.
	ErrCompacted = errors.New("platform: history is gone")
	// ErrBudget reports that this process's call budget is spent.
	ErrBudget = errors.New("platform: call budget spent")
)

// ConflictError carries the entry that a compare-and-swap met.
type ConflictError struct {
	Current Entry
}

// Error implements the error interface.
func (e *ConflictError) Error() string { return "platform: conflict on " + e.Current.Key }

// Is makes a ConflictError match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// KV is the platform's key-value service.
type KV interface {
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// CompareAndSwap writes value if the key is at revision expect and returns the new
	// revision. An answer that is lost is settled by reading back before it returns.
	CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete removes the key if it is at revision expect.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch waits up to wait for changes below prefix after a revision. It is bounded,
	// so that a connection gone silent is noticed.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, id LeaseID) error
	RevokeLease(ctx context.Context, id LeaseID) error
}

// VM is one entry of the platform's VM list, which lags.
type VM struct {
	ID            string `json:"id"`
	Address       string `json:"address"` // IP number
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Role          string `json:"role"` // "entry", "target" or "store"
	Leaving       bool   `json:"leaving"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Health tells how the key-value service answers.
type Health int

const (
	// HealthFine means that calls answer in the usual time.
	HealthFine Health = iota
	// HealthSlow means that calls answer late.
	HealthSlow
	// HealthDown means that calls do not answer.
	HealthDown
)

// String returns the name used in logs and dumps.
func (h Health) String() string {
	switch h {
	case HealthFine:
		return "fine"
	case HealthSlow:
		return "slow"
	default:
		return "down"
	}
}

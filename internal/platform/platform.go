// Package platform is the interface to the services that the platform provides: the key-value
// service and the VM list. State that must outlive a daemon is stored through KV.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Revision orders writes of the key-value service. Zero stands for an absent key.
//
// The service may be restored from a backup that is some seconds old, and then reuses the numbers
// of the writes that it lost. Each restore begins a new era, which takes precedence over the
// number: a revision of an older era is older, whatever its number.
type Revision uint64

// eraShift is the number of bits below the era. At 10,000 writes per second they suffice for
// three years.
const eraShift = 40

// NewRevision returns the revision with the given number in an era.
func NewRevision(era, number uint64) Revision { return Revision(era<<eraShift | number) }

// Era returns the number of restores of the key-value service; zero if the service does not
// report it.
func (r Revision) Era() uint64 { return uint64(r) >> eraShift }

// Number returns the revision number that the key-value service itself uses.
func (r Revision) Number() uint64 { return uint64(r) & (1<<eraShift - 1) }

// LeaseID identifies a lease of the key-value service.
type LeaseID string

// Entry is a key with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
	Deleted  bool
}

// Errors of KV. Test for them with errors.Is.
var (
	// ErrNotFound reports an absent key or an expired lease.
	ErrNotFound = errors.New("platform: not found")
	// ErrConflict reports a compare-and-swap whose expected revision was not current;
	// the write had no effect. errors.As with *ConflictError returns the current entry. A
	// revision of an older era is never current.
	ErrConflict = errors.New("platform: conflict")
	// ErrUnavailable reports that the key-value service did not respond; a read can be retried.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUncertain reports a write that may or may not have taken effect and whose outcome could
	// not be determined in time. The caller must read the key before it acts again.
	ErrUncertain = errors.New("platform: write outcome unknown")
	// ErrTooLarge reports a value above the key-value service's size limit.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrCompacted reports a watch from a revision whose history was compacted; the prefix must
	// be listed again.
	ErrCompacted = errors.New("platform: revision history was compacted")
	// ErrBudget reports that this process's call budget is exhausted.
	ErrBudget = errors.New("platform: call budget exhausted")
)

// ConflictError carries the current entry after a failed compare-and-swap.
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
	// revision. If the response is lost, it determines the outcome before it returns.
	CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete removes the key if it is at revision expect.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch waits up to wait for changes below prefix after a revision. The wait is bounded to
	// detect connections that have gone silent.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, id LeaseID) error
	RevokeLease(ctx context.Context, id LeaseID) error
}

// Page is a part of a listing.
type Page struct {
	Entries []Entry
	// Revision is a revision whose later changes a watch reports; the page may contain some of them.
	Revision Revision
	More     bool // further entries follow the last one
}

// Pager is implemented by clients of key-value services that list a prefix page by page.
type Pager interface {
	// ListPage returns a page of the entries below a prefix that follow the key after; empty: the first
	// page. A stale page is cheaper, and may be some seconds old.
	ListPage(ctx context.Context, prefix, after string, stale bool) (Page, error)
}

// VM is an entry of the platform's VM list, which lags behind the actual state.
type VM struct {
	ID            string `json:"id"`
	Address       string `json:"address"` // IP address
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Role          string `json:"role"` // "entry", "target" or "store"
	Leaving       bool   `json:"leaving"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Health describes how well the key-value service responds.
type Health int

const (
	// HealthFine means that calls complete in the usual time.
	HealthFine Health = iota
	// HealthSlow means that calls complete late.
	HealthSlow
	// HealthDown means that calls fail.
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

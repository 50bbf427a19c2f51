package store

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kinds of failure, for use with errors.Is.
var (
	// ErrMiss reports content that cannot be used; a *MissError states the reason.
	ErrMiss = errors.New("store: miss")
	// ErrBadManifest reports a manifest that must not be committed.
	ErrBadManifest = errors.New("store: bad manifest")
	// ErrFull reports that the store VM has no free space.
	ErrFull = errors.New("store: full")
	// ErrPinned reports an object that cannot be freed because it is pinned.
	ErrPinned = errors.New("store: pinned")
	// ErrNameTaken reports a name that refers, or referred, to other content.
	ErrNameTaken = errors.New("store: name already used")
	// ErrUnavailable reports that the store VM did not respond, or with an invalid response.
	ErrUnavailable = errors.New("store: unavailable")
)

// MissReason is the reason why content cannot be used.
type MissReason string

const (
	// MissAbsent means that the store VM has no record of the name.
	MissAbsent MissReason = "absent"
	// MissFreed means that the object was freed.
	MissFreed MissReason = "freed"
	// MissCorrupt means that the length or the digest does not match.
	MissCorrupt MissReason = "torn"
	// MissWrongName means that the content belongs to another name.
	MissWrongName MissReason = "foreign"
)

// MissError reports content that must be treated as absent.
type MissError struct {
	Name   string
	Reason MissReason
}

// Error implements the error interface.
func (e *MissError) Error() string { return fmt.Sprintf("store: %s is %s", e.Name, e.Reason) }

// Is makes a MissError match ErrMiss.
func (e *MissError) Is(target error) bool { return target == ErrMiss }

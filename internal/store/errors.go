package store

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kinds of failure. Test for them with errors.Is.
var (
	// ErrMiss reports content that cannot be used; errors.As to *MissError says why.
	ErrMiss = errors.New("store: miss")
	// ErrBadManifest reports a manifest that must not be committed.
	ErrBadManifest = errors.New("store: bad manifest")
	// ErrFull reports that the store VM has no room.
	ErrFull = errors.New("store: full")
	// ErrPinned reports an object that cannot be freed yet.
	ErrPinned = errors.New("store: pinned")
	// ErrNameTaken reports a name that stands, or stood, for other content.
	ErrNameTaken = errors.New("store: name used before")
	// ErrUnavailable reports that the store VM did not answer, or not as it should.
	ErrUnavailable = errors.New("store: unavailable")
)

// MissReason says why content cannot be used.
type MissReason string

const (
	// MissAbsent means that the name was never written, as far as the store VM knows.
	MissAbsent MissReason = "absent"
	// MissFreed means that the object was freed.
	MissFreed MissReason = "freed"
	// MissCorrupt means that length or digest do not match.
	MissCorrupt MissReason = "torn"
	// MissWrongName means that the content belongs to another name.
	MissWrongName MissReason = "foreign"
)

// MissError is content that must be treated as not there.
type MissError struct {
	Name   string
	Reason MissReason
}

// Error implements the error interface.
func (e *MissError) Error() string { return fmt.Sprintf("store: %s is %s", e.Name, e.Reason) }

// Is makes a MissError match ErrMiss.
func (e *MissError) Is(target error) bool { return target == ErrMiss }

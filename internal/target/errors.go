package target

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Kinds of failure. Test for them with errors.Is.
var (
	// ErrUnreachable reports that no connection came about; nothing was sent.
	ErrUnreachable = errors.New("target: unreachable")
	// ErrConnectionLost reports a connection that ended before the answer was whole.
	ErrConnectionLost = errors.New("target: connection cut")
	// ErrTimeout reports an open connection on which nothing came for the set time.
	ErrTimeout = errors.New("target: connection silent")
	// ErrRefused reports an error that the target itself gave; errors.As to
	// *engineapi.Error gives it.
	ErrRefused = errors.New("target: refused")
	// ErrBadResponse reports an answer that does not follow the interface.
	ErrBadResponse = errors.New("target: bad answer")
	// ErrCanceled reports that the caller's context ended.
	ErrCanceled = errors.New("target: canceled")
)

// Error is a failed call to a target.
type Error struct {
	Target     request.TargetID
	Op         string
	Kind       error // one of the kinds above
	NotStarted bool  // the target surely did not start the request
	Cause      error
}

// Error implements the error interface.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s of %s: %s", e.Op, e.Target, e.Kind)
	if e.Cause == nil {
		return text
	}
	return text + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is makes an Error match its kind.
func (e *Error) Is(target error) bool { return target == e.Kind }

// NotStarted tells whether the target surely did not start the request that failed
// with err: there was no connection, or the target said so itself. It is false as
// soon as bytes of the request may have left, since the target may have read them.
func NotStarted(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.NotStarted
}

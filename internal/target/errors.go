package target

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Kinds of failure, for use with errors.Is.
var (
	// ErrUnreachable reports that no connection could be made, so nothing was sent.
	ErrUnreachable = errors.New("target: unreachable")
	// ErrConnectionLost reports a connection that ended before the response was complete.
	ErrConnectionLost = errors.New("target: connection lost before the response was complete")
	// ErrTimeout reports an open connection on which no data arrived within the timeout.
	ErrTimeout = errors.New("target: timed out waiting for data")
	// ErrRefused reports an error response of the target. errors.As with *engineapi.Error
	// returns its content.
	ErrRefused = errors.New("target: request refused")
	// ErrBadResponse reports a response that violates the interface.
	ErrBadResponse = errors.New("target: invalid response")
	// ErrCanceled reports that the caller's context ended.
	ErrCanceled = errors.New("target: canceled")
)

// Error describes a failed call to a target.
type Error struct {
	Target     request.TargetID
	Op         string
	Kind       error // one of the kinds above
	NotStarted bool  // the target certainly did not start the request
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

// Is makes an Error match its Kind.
func (e *Error) Is(target error) bool { return target == e.Kind }

// NotStarted reports whether the target certainly did not start the request that failed
// with err: no connection was made, or the target's response states it. It is false once
// bytes of the request may have been sent, since the target may have read them.
func NotStarted(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.NotStarted
}

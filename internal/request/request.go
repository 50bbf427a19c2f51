// Package request holds the identities, outcomes and errors that every layer of
// bluebellscale shares. It imports no other package of this module.
package request

import (
	"fmt"
	"time"
)

// OrgID names an organisation.
type OrgID string

// TargetID names a target: a model engine replica or a plain service instance.
type TargetID string

// StoreID names a store VM.
type StoreID string

// DaemonID names a daemon process by its configured id, stable over restarts.
type DaemonID string

// Model names a model, for example "verdict".
type Model string

// Version names a weight version of a model, for example "v3".
type Version string

// ID identifies one request over all daemons and retries. It is chosen by the
// daemon that accepted the request and is echoed by targets in every frame.
type ID string

// RunOutcome tells a caller whether its request had an effect.
type RunOutcome string

const (
	// NotRun promises that no target started the request.
	NotRun RunOutcome = "not_run"
	// DidRun states that a target ran the request.
	DidRun RunOutcome = "ran"
	// InDoubt states that the request may or may not have run.
	InDoubt RunOutcome = "in_doubt"
)

// Code is the stable identity of an error in answers to callers.
type Code string

// The codes of docs/API.md.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeUnknownModel     Code = "unknown_model"
	CodeUnknownService   Code = "unknown_service"
	CodeOverLimit        Code = "over_limit"
	CodeOverloaded       Code = "overloaded"
	CodeDeadline         Code = "deadline"
	CodeNoTarget         Code = "no_target"
	CodeDraining         Code = "draining"
	CodeStale            Code = "stale_table"
	CodeQuarantined      Code = "quarantined"
	CodeTargetFailed     Code = "target_failed"
	CodeWrongVersion     Code = "wrong_version"
	CodeInDoubt          Code = "in_doubt"
	CodeResultNotKept    Code = "result_not_kept"
	CodeKeyReused        Code = "key_reused"
	CodeInProgress       Code = "in_progress"
	CodeJournalDown      Code = "journal_unavailable"
	CodeCancelled        Code = "cancelled"
	CodeInternal         Code = "internal"
	CodeNotHolder        Code = "not_holder"
	CodeTruncatedStream  Code = "truncated_stream"
	CodePayloadTooLarge  Code = "payload_too_large"
	CodeMethodNotAllowed Code = "method_not_allowed"
)

// Error is the final answer to a request that did not succeed.
type Error struct {
	Code       Code
	Status     int // HTTP status
	Message    string
	Field      string // the offending field of the request, if any
	Ran        RunOutcome
	RetryAfter time.Duration // zero: coming back will not help
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s: %s: %s (%s)", e.Code, e.Field, e.Message, e.Ran)
	}
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Ran)
}

// Refuse returns an error for a request that certainly did not run.
func Refuse(code Code, status int, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Code: code, Status: status, Message: fmt.Sprintf(format, args...), Ran: NotRun, RetryAfter: retryAfter}
}

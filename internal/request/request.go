// Package request defines the identifiers, outcomes and errors that every layer of
// bluebellscale shares. It imports no other package of this module.
package request

import (
	"fmt"
	"time"
)

// OrgID identifies an organisation.
type OrgID string

// TargetID identifies a target: a model engine replica or a plain service instance.
type TargetID string

// StoreID identifies a store VM.
type StoreID string

// DaemonID identifies a daemon by its configured id, which is stable across restarts.
type DaemonID string

// Model is the name of a model, for example "verdict".
type Model string

// Version is the name of a weight version of a model, for example "v3".
type Version string

// ID identifies one request across all daemons and retries. The daemon that accepts the request
// assigns it, and targets echo it in every frame.
type ID string

// RunOutcome states whether a request had an effect.
type RunOutcome string

const (
	// NotRun promises that no target started the request.
	NotRun RunOutcome = "not_run"
	// DidRun states that a target ran the request.
	DidRun RunOutcome = "ran"
	// InDoubt states that the request may or may not have run.
	InDoubt RunOutcome = "in_doubt"
)

// Code identifies an error in responses to callers. Codes are stable.
type Code string

// Error codes, documented in docs/API.md.
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
	CodeOriginUnknown    Code = "origin_unknown"
)

// Error is the final response to a request that did not succeed.
type Error struct {
	Code       Code
	Status     int // HTTP status
	Message    string
	Field      string // invalid field of the request, if any
	Ran        RunOutcome
	RetryAfter time.Duration // zero: a retry will not help
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

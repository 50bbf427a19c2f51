// Package relay forwards callers' requests to replicas and the responses back without interpreting
// bodies: method, path, body, status, headers and bytes are passed through unchanged.
//
// The package maintains two invariants. A request that must run at most once is sent again only if
// the replica confirmed that it did not run it, and the caller is told "not run" only if that holds
// for every attempt. A response is delivered either completely or visibly truncated: bytes of another
// request, of a second run or of a truncated response never look like a complete response.
package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Meta holds the request metadata from a caller's headers.
type Meta struct {
	ID           request.ID
	TimeLeft     time.Duration // the caller's timeout; zero: not set
	Model        request.Model // empty for plain services
	PromptTokens int
	OutputTokens int    // upper bound
	LengthHint   int    // the caller's estimate of the output tokens; zero: none
	Parts        []Part // parts of the prompt in order
	LastEventID  string // event after which a stream resumes, empty for a new stream
	// Resumes is the request that brought the caller the first event of the stream that resumes; empty if the caller
	// does not say.
	Resumes request.ID
	// Invalid describes optional headers that could not be parsed; the request is served without them.
	// Nil: none.
	Invalid error
}

// AttemptMeta is the metadata that an attempt sends in addition to the caller's own headers.
type AttemptMeta struct {
	Replica        request.TargetID
	TimeLeft       time.Duration
	Org            request.OrgID
	LastEventID    string // set when the relay itself resumes a stream
	WeightsVersion uint64 // weight version that the replica must serve; zero: any
	CacheSalt      string
	// FetchFrom and SaveTo hold a context store's address for each part, empty for none.
	FetchFrom  []string
	SaveTo     []string
	FetchUntil int64 // replicas' clock, ms; a fetch that ends later is discarded
	Priority   int   // 0 to 9, 0 is served first
}

// ResponseMeta holds the response metadata from a replica's headers.
type ResponseMeta struct {
	ID             string
	Signed         bool   // the response has the replica's signature header (Response-Signature); its value is not verified
	NotRun         bool   // the replica did not run the request
	WeightsVersion uint64 // weight version that the replica serves; zero: not stated
	// RateLimit is the number of requests per second that the replica accepts from all daemons
	// together; zero: no limit.
	RateLimit float64
	// Brittle is the number of requests that the replica can reject in a second for want of room without falling over;
	// zero: it names no limit.
	Brittle float64
	Leaving bool // the replica accepts no new requests
	// RetryAfter is the backoff that the replica requests from this daemon with a refusal.
	RetryAfter time.Duration
	// Invalid describes headers that could not be parsed; the other fields are valid. Nil: none.
	Invalid error
}

// Dialect parses and writes the headers that callers and replicas use.
type Dialect interface {
	// ParseRequest parses a caller's headers. Its error names the invalid header.
	ParseRequest(h http.Header) (Meta, error)
	// CallerKey returns the caller's key, empty if there is none.
	CallerKey(h http.Header) string
	// AttemptHeader returns the headers of an attempt: those of s, and the caller's without connection
	// headers and headers that only the system sets.
	AttemptHeader(h http.Header, s AttemptMeta) http.Header
	// ParseResponse parses a replica's headers.
	ParseResponse(status int, h http.Header) ResponseMeta
	// ForwardHeader returns the headers with which another daemon gets a request: the caller's own without connection
	// headers, with the time that is left, and with the event after which a stream resumes unless it is empty.
	ForwardHeader(h http.Header, timeLeft time.Duration, lastEventID string) http.Header
	// CopyResponseHeader copies a replica's headers to the caller's response.
	CopyResponseHeader(to, from http.Header)
}

// SoftwareBinding restricts a request to the replicas of one version of their software. The zero value restricts nothing.
type SoftwareBinding struct {
	Bound   bool
	Version string
}

// BoundTo returns the binding to a version.
func BoundTo(version string) SoftwareBinding { return SoftwareBinding{Bound: true, Version: version} }

// Allows reports whether a replica with a version may get the request.
func (b SoftwareBinding) Allows(version string) bool { return !b.Bound || b.Version == version }

// AllowsReplica reports whether a replica may get the request, by its entry. Its process is confirmed when the request is sent.
func (b SoftwareBinding) AllowsReplica(r *replicas.Replica) bool {
	return !b.Bound || b.Allows(r.Info().Software) && r.KnowsSoftware()
}

// StreamID identifies a stream over all requests of its caller.
type StreamID struct {
	Service routing.ServiceID
	Org     request.OrgID
	Request request.ID // that brought the caller the first event
}

// Origins knows at which version of its service's software each stream began.
type Origins interface {
	// Began records the version before the first event of a stream, or of a request that resumes it, is delivered; unbound if
	// it is not known. It blocks for a bounded time at a version that is not listed for all daemons yet.
	Began(ctx context.Context, s StreamID, software SoftwareBinding)
	// Find returns the version. A *request.Error means that it is not known.
	Find(ctx context.Context, s StreamID) (software string, err error)
}

// Job is a request in progress.
type Job struct {
	Meta
	Method   string
	Host     string
	URI      string // as received
	Header   http.Header
	Body     []byte
	Route    *routing.Route
	Service  *routing.Service
	Org      *routing.Org // nil if no organisation holds the caller's key
	Start    time.Time
	Deadline time.Time // earlier of the caller's and the route's deadline
	// ResponseStarted is set once the caller has received a part of the response. A resumed stream is
	// not refused because of queueing time, since its caller would lose what it has received.
	ResponseStarted bool
	// Software is the version that began the stream that the request resumes.
	Software SoftwareBinding

	firstSentAt time.Time // to a replica
	takesChunks bool      // the caller speaks HTTP/1.1

	memory *holding // of Body, and of the buffers of a stream
	wait   waitRecord
	// stateVersion is the version of the desired state by which the request was accepted.
	stateVersion uint64
	received     *received // what the daemon that forwarded the request tells; nil: it came from the caller
}

// OrgID returns the organisation's id, empty if there is none.
func (j *Job) OrgID() request.OrgID {
	if j.Org == nil {
		return ""
	}
	return j.Org.ID
}

// AllowedIn reports whether the request, its prompt and the context stored for it may enter a region.
func (j *Job) AllowedIn(region routing.Region) bool {
	return routing.AllowedIn(region, j.Route, j.Org)
}

// HasHomes reports whether the request is restricted to certain regions.
func (j *Job) HasHomes() bool { return len(j.Route.Homes) > 0 || j.Org != nil && len(j.Org.Homes) > 0 }

// Priority returns the priority of the request; 0 is the most urgent.
func (j *Job) Priority() int {
	if j.Org != nil && j.Org.HasPriority {
		return j.Org.Priority
	}
	return j.Route.Priority
}

// Placement is the replica chosen for an attempt.
type Placement struct {
	Replica *replicas.Replica
	Meta    AttemptMeta
	Flight  *replicas.Flight
	Reason  string // why the replica was chosen, for the log
	// StartDeadline is the time by which the response must have started; zero: none. An attempt that
	// has not started by then is cancelled, because the weights of its replica may no longer be used.
	StartDeadline time.Time
	// OnFirstEvent is called when the first event arrives; may be nil.
	OnFirstEvent func()
	// OnLongestGap is called when the time between two events of a stream was longer than before; may be nil.
	OnLongestGap func(gap time.Duration)
	// OnEnd is called once at the end of the attempt, with whether the request ran or may have run; may be nil.
	OnEnd func(ran bool)
	// Stream follows the stream of events that answers the attempt; may be nil.
	Stream StreamObserver
}

// StreamObserver follows one attempt. Its methods are called in order by one goroutine.
type StreamObserver interface {
	// Sent is called before the request is sent.
	Sent(now time.Time)
	// Event is called for each event, after it was passed to the caller, which took a time.
	Event(arrived time.Time, delivery time.Duration)
	// Completed is called if the stream ended complete.
	Completed(now time.Time)
}

// NoRoomError is the error of a placement that would break a latency objective: no replica can serve the
// request in time without delaying running streams for too long. The request reached no replica.
type NoRoomError struct {
	Service routing.ServiceID
	Wait    time.Duration // until a replica is expected to have room
}

// Error implements error.
func (e *NoRoomError) Error() string {
	return fmt.Sprintf("no replica of %s has room: the wait is %s", e.Service, e.Wait)
}

// minFullRetry and maxFullRetry bound the Retry-After of a request for which no replica had room: at least
// the time of a few prompts, and well below the callers' timeouts.
const (
	minFullRetry = 200 * time.Millisecond
	maxFullRetry = time.Second
)

// refusal returns the error for the caller of a request that does not wait.
func (e *NoRoomError) refusal() *request.Error {
	retryAfter := min(max(e.Wait, minFullRetry), maxFullRetry)
	return request.Refuse(request.CodeOverloaded, http.StatusServiceUnavailable, retryAfter, "all replicas are full: the wait is %s", e.Wait)
}

// Placer chooses replicas.
type Placer interface {
	// HasRoom reports whether Place may find a replica now. It uses only what this daemon knows, and
	// neither claims transfers nor changes state, so that requests that wait for room can be checked often.
	HasRoom(j *Job, tried []request.TargetID) bool
	// Place returns the replica for the next attempt, excluding those in tried. A *request.Error
	// means that no replica can accept the request, and says when the caller may retry. A *NoRoomError
	// means that the request may wait for room.
	Place(ctx context.Context, j *Job, tried []request.TargetID) (*Placement, error)
}

// Package relay carries callers' requests to replicas and their answers back, unread:
// method, path, body, status, headers and bytes stay as they are.
//
// Two things hold at all times. A request that may run once is sent again only if the
// replica surely did not run it, and "not run" is told to a caller only if that holds for
// every try. An answer reaches the caller whole or visibly broken: bytes of another
// request, of a second run or of a cut answer never look like a complete one.
package relay

import (
	"context"
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

// Meta is what a caller's headers say of a request.
type Meta struct {
	ID           request.ID
	TimeLeft     time.Duration // the caller's; zero: not told
	Model        request.Model // empty for plain services
	PromptTokens int
	OutputTokens int    // at most
	Parts        []Part // of the prompt, first part first
	LastEvent    string // where a stream goes on, empty at its start
}

// Send is what a try tells the replica beside the caller's own headers.
type Send struct {
	Replica   request.TargetID
	TimeLeft  time.Duration
	Org       request.OrgID
	LastEvent string // set when the relay itself resumes a stream
	Weights   uint64 // the version that the replica must serve; zero: any
	CacheSalt string
	// FetchFrom and SaveTo name an address for each part, empty for none.
	FetchFrom  []string
	SaveTo     []string
	FetchUntil int64 // on the replicas' clock, ms; a fetch is thrown away after it
	Urgency    int   // 0 to 9, 0 is first
}

// Answer is what a replica's headers say.
type Answer struct {
	ID      string
	Signed  bool   // the replica vouches for the answer
	NotRun  bool   // it did not run the request
	Weights uint64 // that it serves; zero: not told
	// RateLimit is how many requests a second it takes from all daemons together; zero: as many
	// as come.
	RateLimit float64
	Leaving   bool // it takes no new requests
	// RetryAfter is for how long it wants no request of this daemon, having turned one away.
	RetryAfter time.Duration
	// Invalid names headers that can not be read; the others hold. Nil: there are none.
	Invalid error
}

// Dialect reads and writes the headers that callers and replicas use.
type Dialect interface {
	// Meta reads a caller's headers. Its error names the header.
	Meta(h http.Header) (Meta, error)
	// Key returns the caller's key, empty if there is none.
	Key(h http.Header) string
	// Outgoing returns the headers of a try: the caller's without those that concern the
	// connection or that only the system sets, and those of s.
	Outgoing(h http.Header, s Send) http.Header
	// Answer reads a replica's headers.
	Answer(status int, h http.Header) Answer
	// Incoming copies a replica's headers to the caller's answer.
	Incoming(to, from http.Header)
}

// Job is a request on its way.
type Job struct {
	Meta
	Method   string
	Host     string
	URI      string // as it was received
	Header   http.Header
	Body     []byte
	Route    *routing.Route
	Service  *routing.Service
	Org      *routing.Org // nil if the route needs none
	Start    time.Time
	Deadline time.Time // the earlier of the caller's and the route's
	// Begun is set once the caller has a part of the answer. A stream that is resumed is not
	// refused for a wait: its caller would lose what it has.
	Begun bool
}

// OrgID returns the organisation's id, empty if there is none.
func (j *Job) OrgID() request.OrgID {
	if j.Org == nil {
		return ""
	}
	return j.Org.ID
}

// AllowedIn reports whether the request, its prompt and what is kept of that may go to a region.
func (j *Job) AllowedIn(region routing.Region) bool {
	return routing.AllowedIn(region, j.Route, j.Org)
}

// HasHomes reports whether the request may not go everywhere.
func (j *Job) HasHomes() bool { return len(j.Route.Homes) > 0 || j.Org != nil && len(j.Org.Homes) > 0 }

// Priority returns the rank of the request, 0 is the most urgent.
func (j *Job) Priority() int {
	if j.Org != nil && j.Org.HasPriority {
		return j.Org.Priority
	}
	return j.Route.Priority
}

// Placement is a replica chosen for a try.
type Placement struct {
	Replica *replicas.Replica
	Send    Send
	Flight  *replicas.Flight
	Reason  string // for the log: what decided
	// BeginBy is when the answer must have begun; zero: no such time. A try that waits
	// longer is given up: its replica's weights may not be used any more.
	BeginBy time.Time
	// First is told when the first event came; nil: nobody needs it.
	First func()
	// Ended is told once how the try ended; nil: nobody needs it.
	Ended func(ran bool)
}

// Placer chooses replicas.
type Placer interface {
	// Place returns where a try goes, without the replicas tried before. A *request.Error
	// says that no replica can take the request, and when to come back.
	Place(ctx context.Context, j *Job, tried []request.TargetID) (*Placement, error)
}

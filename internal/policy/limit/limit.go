// Package limit enforces an organisation's limits (requests a second, concurrent
// requests, tokens a second) across all daemons.
//
// Each organisation has one limit coordinator, chosen by rendezvous hash. The
// coordinator leases slices of the limits to the LocalLimiters of the daemons that
// admit the organisation's requests. A slice consists of an amount of requests and
// tokens and a number of slots for concurrent requests, and expires after a TTL. A daemon
// that cannot reach the coordinator admits its share of the limits for FallbackTTL, then
// a floor. docs/design/limits.md states the error bounds and the reasons for the design.
//
// The package is pure: it has no clock, I/O, goroutine or randomness. LocalLimiters
// and Coordinators are not safe for concurrent use.
package limit

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Limits are the limits of one organisation across all daemons. Zero means no limit of
// that kind.
type Limits struct {
	RequestsPerSecond float64
	Burst             int // requests allowed at once above the rate; values below 1 count as 1
	Concurrency       int // concurrently running requests
	TokensPerSecond   float64
}

// tokenBurst is the token burst in seconds of the token rate. A larger prompt is still
// admitted and its excess is charged against later tokens.
const tokenBurst = 4

func (l Limits) burst() float64      { return float64(max(l.Burst, 1)) }
func (l Limits) tokenBurst() float64 { return l.TokensPerSecond * tokenBurst }

// Defaults of Params.
const (
	DefaultSliceTTL      = time.Second
	DefaultSettleTTL     = 3 * time.Second
	DefaultFallbackTTL   = 30 * time.Second
	DefaultFloorShare    = 0.1
	DefaultMinRetryAfter = 50 * time.Millisecond
	DefaultMaxRetryAfter = 30 * time.Second
)

// Params are the same in all daemons. Zero values select the defaults above.
type Params struct {
	// SliceTTL is the lifetime of a slice. A longer lifetime increases the error of the
	// limits and reduces the number of messages.
	SliceTTL time.Duration
	// SettleTTL is the time after a membership change during which two daemons may both
	// act as coordinator.
	SettleTTL time.Duration
	// FallbackTTL is the time for which a daemon admits its full share of the limits after
	// losing contact with the coordinator.
	FallbackTTL time.Duration
	// FloorShare is the fraction of that share that the daemon admits afterwards.
	FloorShare    float64
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

func (p *Params) setDefaults() {
	if p.SliceTTL <= 0 {
		p.SliceTTL = DefaultSliceTTL
	}
	if p.SettleTTL <= 0 {
		p.SettleTTL = DefaultSettleTTL
	}
	if p.FallbackTTL <= 0 {
		p.FallbackTTL = DefaultFallbackTTL
	}
	if p.FloorShare <= 0 {
		p.FloorShare = DefaultFloorShare
	}
	if p.MinRetryAfter <= 0 {
		p.MinRetryAfter = DefaultMinRetryAfter
	}
	if p.MaxRetryAfter <= 0 {
		p.MaxRetryAfter = DefaultMaxRetryAfter
	}
}

func (p *Params) clamp(d time.Duration) time.Duration {
	return min(max(d, p.MinRetryAfter), p.MaxRetryAfter)
}

// SliceRequest is a daemon's request to a coordinator. It corresponds to
// peer.SliceRequest.
type SliceRequest struct {
	Org         request.OrgID
	Requests    int64
	Concurrency int64 // total slots, including those in use
	Tokens      int64
	Used        int64 // slots in use
}

// Slice is the coordinator's answer. It corresponds to peer.SliceResponse.
type Slice struct {
	Requests    int64 // in addition to earlier slices
	Concurrency int64 // total slots, replacing the earlier number
	Tokens      int64 // in addition to earlier slices
	TTL         time.Duration
	RetryAfter  time.Duration // time until more is available, if the coordinator granted less than requested
	Settling    bool          // the coordinator granted less because of a membership change
}

// Package limit keeps an organisation's limits (requests a second, requests at once,
// tokens a second) over all daemons.
//
// Each organisation has one limit steward, chosen by rendezvous hash, that leases
// slices of the limits to the homes, the daemons that admit its requests. A slice is
// an amount of requests and tokens and a number of places; it lapses by itself. A
// home that can't reach the steward goes on at its share of the limits for a while,
// then at a floor. docs/design/limits.md states the error and argues the choices.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness. Homes and
// stewards are not safe for concurrent use.
package limit

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Limits of one organisation over all daemons. Zero: no limit of that kind.
type Limits struct {
	RequestsPerSecond float64
	Burst             int // requests at once above the rate; below 1 counts as 1
	Concurrency       int // requests running at once
	TokensPerSecond   float64
}

// tokenBurst is how many seconds of the token rate may be spent at once. A prompt
// above that still passes and is paid off afterwards.
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

// Params are the same in all daemons. Zero values take the defaults above.
type Params struct {
	// SliceTTL is how long a slice may be used. The error of the limits grows with
	// it, and the messages shrink.
	SliceTTL time.Duration
	// SettleTTL is how long after a change of membership two daemons may still both
	// take themselves for the steward.
	SettleTTL time.Duration
	// FallbackTTL is how long a home goes on at its share of the limits after the
	// steward was lost.
	FallbackTTL time.Duration
	// FloorShare is the part of that share that it keeps afterwards.
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

// SliceRequest is what a home asks of a steward. It corresponds to peer.SliceRequest.
type SliceRequest struct {
	Org         request.OrgID
	Requests    int64
	Concurrency int64 // places in all, those in use included
	Tokens      int64
	Used        int64 // places in use
}

// Slice is the steward's answer. It corresponds to peer.SliceResponse.
type Slice struct {
	Requests    int64 // on top of earlier slices
	Concurrency int64 // in all, in place of the earlier number
	Tokens      int64 // on top of earlier slices
	TTL         time.Duration
	RetryAfter  time.Duration // when the steward will have more, if it gave less than asked
}

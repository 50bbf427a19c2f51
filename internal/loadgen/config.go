// Package loadgen drives callers against the daemons and checks what they get: each
// answer whole and its own, each non-idempotent call executed at most once, and each
// refusal that says "not run" true. It is a test driver and part of no program that
// is shipped.
package loadgen

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Org is an organisation on whose behalf callers act.
type Org struct {
	ID  request.OrgID
	Key string // bearer key
}

// Config of Run. Zero durations take defaults.
type Config struct {
	Daemons  []string // host:port; asked for routes, and the fallback without one
	Services []string // host:port of plain service stand-ins, read for executions
	Orgs     []Org
	Model    request.Model
	Seed     int64
	// RunID makes idempotency keys and contexts apart from those of other runs. Empty:
	// taken from the clock.
	RunID string

	Contexts      int // of each organisation, each with one caller
	Turns         int // completions on each context; all but the first are returns
	ContextTokens int
	TurnTokens    int // of the prompt's end that differs between turns
	MaxTokens     int
	Gap           time.Duration // mean time between turns of a context

	Service  string // plain service to call
	Calls    int    // service calls of each organisation
	Callers  int    // callers that share them
	CallGap  time.Duration
	CallBody int // bytes

	RequestTimeout time.Duration // until a request without a final answer counts as lost
	IdleTimeout    time.Duration // without a byte on an open connection: given up, tried elsewhere
	MaxBackoff     time.Duration // longest wait before a retry, whatever Retry-After says; 0: none

	Logger hclog.Logger
	// OnSettled, if set, is told after each request how many have their final outcome.
	OnSettled func(settled int)
	// OnEnd, if set, is told of each request when it has its final outcome. It is called
	// from many goroutines.
	OnEnd func(RequestEnd)
}

// RequestEnd is how and when one request ended.
type RequestEnd struct {
	At       time.Time
	Duration time.Duration // from the first try on
	Attempts int
	Outcome  string
}

// Defaults of Config.
const (
	DefaultRequestTimeout = time.Minute
	DefaultIdleTimeout    = 10 * time.Second
	DefaultBackoff        = 100 * time.Millisecond // where an answer names no time
)

func (c Config) withDefaults() Config {
	if c.RunID == "" {
		c.RunID = time.Now().UTC().Format("20060102T150405.000000000")
	}
	if c.RequestTimeout == 0 {
		c.RequestTimeout = DefaultRequestTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	c.Callers = max(c.Callers, 1)
	return c
}

func (c Config) check() error {
	switch {
	case len(c.Daemons) == 0:
		return errors.New("loadgen: no daemons")
	case len(c.Orgs) == 0:
		return errors.New("loadgen: no organisations")
	case c.Contexts > 0 && (c.Model == "" || c.ContextTokens <= 0 || c.MaxTokens <= 0 || c.Turns <= 0):
		return errors.New("loadgen: contexts need a model, turns, context tokens and output tokens")
	case c.Calls > 0 && (c.Service == "" || len(c.Services) == 0):
		return errors.New("loadgen: calls need a service and the addresses of its stand-ins")
	case c.Contexts == 0 && c.Calls == 0:
		return errors.New("loadgen: nothing to do")
	}
	return nil
}

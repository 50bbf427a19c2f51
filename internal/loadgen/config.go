// Package loadgen sends load to daemons and checks their responses: each answer is
// complete and belongs to its request, each non-idempotent call is executed at most once,
// and no request that was refused as "not run" was executed. It is a test driver and not
// part of any released program.
package loadgen

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Org is an organisation whose callers are simulated.
type Org struct {
	ID  request.OrgID
	Key string // bearer key
}

// Config configures Run. A zero RequestTimeout or IdleTimeout selects the default.
type Config struct {
	Daemons  []string // host:port; serve route lookups, and are the addresses to use without a route
	Services []string // host:port of plain service stand-ins, whose executions are counted
	Orgs     []Org
	Model    request.Model
	Seed     int64
	// RunID distinguishes idempotency keys and contexts from those of other runs. If it
	// is empty, the start time is used.
	RunID string

	Contexts      int // of each organisation, with one caller for each context
	Turns         int // completions on each context; each after the first is a return
	ContextTokens int
	TurnTokens    int // at the end of the prompt, different in each turn
	MaxTokens     int
	Gap           time.Duration // mean time between turns of a context

	Service  string // plain service to call
	Calls    int    // service calls of each organisation
	Callers  int    // of each organisation, which share its service calls
	CallGap  time.Duration
	CallBody int // bytes

	RequestTimeout time.Duration // limit for a request with all its attempts
	IdleTimeout    time.Duration // an attempt fails after this time without a byte
	MaxBackoff     time.Duration // upper bound of the wait before a retry, also where Retry-After is longer; 0: no bound

	Logger hclog.Logger
	// OnSettled, if set, is called after the end of each request with the number of
	// requests that have ended.
	OnSettled func(settled int)
	// OnEnd, if set, is called at the end of each request. Calls are concurrent.
	OnEnd func(RequestEnd)
}

// RequestEnd describes the end of one request.
type RequestEnd struct {
	At       time.Time
	Duration time.Duration // since the start of the first attempt
	Attempts int
	Outcome  string
}

// Defaults of Config.
const (
	DefaultRequestTimeout = time.Minute
	DefaultIdleTimeout    = 10 * time.Second
	DefaultBackoff        = 100 * time.Millisecond // if a refusal has no retry-after time
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
		return errors.New("loadgen: no daemons configured")
	case len(c.Orgs) == 0:
		return errors.New("loadgen: no organisations configured")
	case c.Contexts > 0 && (c.Model == "" || c.ContextTokens <= 0 || c.MaxTokens <= 0 || c.Turns <= 0):
		return errors.New("loadgen: contexts require a model, turns, context tokens and output tokens")
	case c.Calls > 0 && (c.Service == "" || len(c.Services) == 0):
		return errors.New("loadgen: calls require a service and the addresses of its stand-ins")
	case c.Contexts == 0 && c.Calls == 0:
		return errors.New("loadgen: neither contexts nor calls configured")
	}
	return nil
}

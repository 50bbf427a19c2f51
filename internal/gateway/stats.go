package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// stats holds the gateway's metrics.
type stats struct {
	scope      tally.Scope
	accepted   tally.Counter
	answered   tally.Counter
	forwarded  tally.Counter
	retried    tally.Counter
	resumed    tally.Counter
	inDoubt    tally.Counter
	firstToken tally.Histogram
	cached     tally.Counter
	prompt     tally.Counter
}

var firstTokenBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second,
}

func newStats(scope tally.Scope) stats {
	return stats{
		scope:      scope,
		accepted:   scope.Counter("requests_accepted"),
		answered:   scope.Counter("requests_answered"),
		forwarded:  scope.Counter("requests_forwarded"),
		retried:    scope.Counter("requests_retried"),
		resumed:    scope.Counter("streams_resumed"),
		inDoubt:    scope.Counter("requests_in_doubt"),
		firstToken: scope.Histogram("first_token", firstTokenBuckets),
		cached:     scope.Counter("prompt_tokens_cached"),
		prompt:     scope.Counter("prompt_tokens"),
	}
}

func (s stats) refused(code request.Code) tally.Counter {
	return s.scope.Tagged(map[string]string{"code": string(code)}).Counter("requests_refused")
}

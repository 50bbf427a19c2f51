// Package losses counts the requests in daemons' logs that were refused, slow, broken or failed, by
// time window and cause. It shows when callers were served worst, and why.
//
// The package is pure: it works on logs that were collected before.
package losses

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/loglines"
)

// Kind classifies losses: requests that failed or were served too slowly.
type Kind string

// Kinds of losses.
const (
	Refused Kind = "refused" // by the daemon
	Late    Kind = "late"    // first token after the objective, or a pause between tokens over its bound
	Broken  Kind = "broken"  // stream that ended prematurely
	Failed  Kind = "failed"  // error returned by the replica, or no response before the deadline
)

// line is one log line, with the fields that describe the end of a request.
type line struct {
	At      time.Time `json:"@timestamp"`
	Message string    `json:"@message"`
	Route   string    `json:"route"`
	Status  int       `json:"status"`
	Code    string    `json:"code"`
	Why     string    `json:"why"`
	Cause   string    `json:"cause"`
	Late    string    `json:"late"`
	Waited  int64     `json:"waited_ms"` // for room at the replicas
}

// Loss counts lost requests of one kind, route and cause.
type Loss struct {
	Kind  Kind   `json:"kind"`
	Route string `json:"route"`
	Cause string `json:"cause"`
	Count int    `json:"count"`
}

// Window counts the requests in one time window.
type Window struct {
	From    time.Time `json:"from"`
	Ended   int       `json:"ended"`   // requests that ended in the window
	Lost    int       `json:"lost"`    // lost requests among Ended
	Largest []Loss    `json:"largest"` // largest losses first
}

// Summary contains the losses of all logs.
type Summary struct {
	Ended   int      `json:"ended"`
	Losses  []Loss   `json:"losses"`  // largest first
	Windows []Window `json:"windows"` // windows with the largest share of losses, worst first
}

// Options configures Count.
type Options struct {
	WindowLength time.Duration
	MaxWindows   int // in the summary
	MaxCauses    int // per window
}

// lossKey identifies the losses that are counted together.
type lossKey struct {
	kind         Kind
	route, cause string
}

type window struct {
	ended int
	lost  map[lossKey]int
}

// Count reads logs and summarizes their losses. It skips lines that are not JSON lines of a daemon
// and requests without a route.
func Count(o Options, logs ...io.Reader) (*Summary, error) {
	windows := map[time.Time]*window{}
	total := &window{lost: map[lossKey]int{}}
	for _, log := range logs {
		err := scan(log, func(l line) {
			from := l.At.Truncate(o.WindowLength)
			w := windows[from]
			if w == nil {
				w = &window{lost: map[lossKey]int{}}
				windows[from] = w
			}
			for _, w := range []*window{w, total} {
				w.ended++
				if k, lost := classify(l); lost {
					w.lost[k]++
				}
			}
		})
		if err != nil {
			return nil, err
		}
	}
	return &Summary{Ended: total.ended, Losses: total.losses(), Windows: worstWindows(o, windows)}, nil
}

func scan(log io.Reader, handle func(line)) error {
	err := loglines.ForEach(log, func(object []byte) {
		var l line
		if json.Unmarshal(object, &l) != nil || l.Route == "" {
			return
		}
		if l.Message == loglines.Answered || l.Message == loglines.Refused || l.Message == loglines.StreamBroken {
			handle(l)
		}
	})
	return errors.Wrap(err, "losses")
}

// firstServerError is the lowest status with which a replica reports an internal error.
const firstServerError = 500

func classify(l line) (lossKey, bool) {
	switch {
	case l.Message == loglines.StreamBroken:
		return lossKey{Broken, l.Route, normalizeCause(l.Cause)}, true
	case l.Message == loglines.Refused && l.Code == "deadline":
		return lossKey{Failed, l.Route, normalizeCause(l.Why)}, true
	case l.Message == loglines.Refused && (l.Code == "unauthorized" || l.Code == "unknown_service"):
		return lossKey{}, false // the caller was not allowed to make the request
	case l.Message == loglines.Refused:
		return lossKey{Refused, l.Route, l.Code + ": " + normalizeCause(l.Why)}, true
	case l.Status >= firstServerError:
		return lossKey{Failed, l.Route, fmt.Sprintf("the replica answered %d", l.Status)}, true
	case l.Late != "":
		return lossKey{Late, l.Route, l.Late + afterWait(l)}, true
	}
	return lossKey{}, false
}

// noticeableWaitMs is the wait for room, in milliseconds, from which it is named as a cause.
const noticeableWaitMs = 50

func afterWait(l line) string {
	if l.Waited < noticeableWaitMs {
		return ""
	}
	return ", after a wait for room"
}

// variableParts matches numbers, durations and addresses in a cause.
var variableParts = regexp.MustCompile(`[0-9][0-9a-fµ.:]*(ms|s|m)?([0-9.]+s)?`)

// normalizeCause replaces the variable parts of a cause, which lets equal causes count as one.
func normalizeCause(cause string) string { return variableParts.ReplaceAllString(cause, "N") }

func (w *window) losses() []Loss {
	out := make([]Loss, 0, len(w.lost))
	for k, n := range w.lost {
		out = append(out, Loss{Kind: k.kind, Route: k.route, Cause: k.cause, Count: n})
	}
	slices.SortFunc(out, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// worstWindows returns the windows with the largest share of lost requests.
func worstWindows(o Options, windows map[time.Time]*window) []Window {
	var out []Window
	for from, w := range windows {
		summary := Window{From: from, Ended: w.ended, Largest: w.losses()}
		for _, loss := range summary.Largest {
			summary.Lost += loss.Count
		}
		if summary.Lost > 0 {
			summary.Largest = summary.Largest[:min(len(summary.Largest), o.MaxCauses)]
			out = append(out, summary)
		}
	}
	share := func(w Window) float64 { return float64(w.Lost) / float64(w.Ended) }
	slices.SortFunc(out, func(a, b Window) int {
		return cmp.Or(cmp.Compare(share(b), share(a)), a.From.Compare(b.From))
	})
	return out[:min(len(out), o.MaxWindows)]
}

// Package losses counts from daemons' logs which requests were refused, late or broken off, in
// which seconds and for which causes: where callers were served worst, and what it was for.
//
// The package is pure: it reads lines that were collected before.
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

// Kind is how a request was served badly.
type Kind string

// The kinds of loss.
const (
	Refused Kind = "refused" // by the daemon
	Late    Kind = "late"    // first words after the objective, or a pause over its bound
	Broken  Kind = "broken"  // a stream that ended before its end
	Failed  Kind = "failed"  // with a replica's own error, or none in time
)

// line is one log line, with the fields that tell a request's end.
type line struct {
	At      time.Time `json:"@timestamp"`
	Message string    `json:"@message"`
	Route   string    `json:"route"`
	Status  int       `json:"status"`
	Code    string    `json:"code"`
	Why     string    `json:"why"`
	Cause   string    `json:"cause"`
	Late    string    `json:"late"`
}

// Loss counts requests of one kind, route and cause.
type Loss struct {
	Kind  Kind   `json:"kind"`
	Route string `json:"route"`
	Cause string `json:"cause"`
	Count int    `json:"count"`
}

// Window is a span of time.
type Window struct {
	From    time.Time `json:"from"`
	Ended   int       `json:"ended"`   // requests that ended in it
	Lost    int       `json:"lost"`    // of those
	Largest []Loss    `json:"largest"` // of its losses
}

// Summary is what logs tell.
type Summary struct {
	Ended   int      `json:"ended"`
	Losses  []Loss   `json:"losses"`  // the largest first
	Windows []Window `json:"windows"` // those that lost most, the worst first
}

// Options bound a table.
type Options struct {
	WindowLength time.Duration // of a window
	MaxWindows   int           // how many are told
	MaxCauses    int           // how many are told of each window
}

// key is what losses are counted by.
type key struct {
	kind         Kind
	route, cause string
}

type window struct {
	ended int
	lost  map[key]int
}

// Count reads logs. Lines that are not the daemons' own JSON, and answers to requests that
// name no route, are passed over.
func Count(o Options, logs ...io.Reader) (*Summary, error) {
	windows := map[time.Time]*window{}
	total := &window{lost: map[key]int{}}
	for _, log := range logs {
		err := scan(log, func(l line) {
			from := l.At.Truncate(o.WindowLength)
			w := windows[from]
			if w == nil {
				w = &window{lost: map[key]int{}}
				windows[from] = w
			}
			for _, w := range []*window{w, total} {
				w.ended++
				if k, lost := lossOf(l); lost {
					w.lost[k]++
				}
			}
		})
		if err != nil {
			return nil, err
		}
	}
	return &Summary{Ended: total.ended, Losses: total.losses(), Windows: worst(o, windows)}, nil
}

func scan(log io.Reader, take func(line)) error {
	err := loglines.ForEach(log, func(object []byte) {
		var l line
		if json.Unmarshal(object, &l) != nil || l.Route == "" {
			return
		}
		if l.Message == loglines.Answered || l.Message == loglines.Refused || l.Message == loglines.StreamBroken {
			take(l)
		}
	})
	return errors.Wrap(err, "losses")
}

// serverError is the first status by which a replica tells an error of its own.
const serverError = 500

func lossOf(l line) (key, bool) {
	switch {
	case l.Message == loglines.StreamBroken:
		return key{Broken, l.Route, plain(l.Cause)}, true
	case l.Message == loglines.Refused && l.Code == "deadline":
		return key{Failed, l.Route, plain(l.Why)}, true
	case l.Message == loglines.Refused && (l.Code == "unauthorized" || l.Code == "unknown_service"):
		return key{}, false // it was not allowed
	case l.Message == loglines.Refused:
		return key{Refused, l.Route, l.Code + ": " + plain(l.Why)}, true
	case l.Status >= serverError:
		return key{Failed, l.Route, fmt.Sprintf("the replica answered %d", l.Status)}, true
	case l.Late != "":
		return key{Late, l.Route, l.Late}, true
	}
	return key{}, false
}

// figures are numbers, durations and addresses within a cause.
var figures = regexp.MustCompile(`[0-9][0-9a-fµ.:]*(ms|s|m)?([0-9.]+s)?`)

// plain returns a cause without its figures, so that equal causes count as one.
func plain(cause string) string { return figures.ReplaceAllString(cause, "N") }

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

// worst returns the windows that lost most, by the share of what ended in them.
func worst(o Options, windows map[time.Time]*window) []Window {
	var out []Window
	for from, w := range windows {
		told := Window{From: from, Ended: w.ended, Largest: w.losses()}
		for _, loss := range told.Largest {
			told.Lost += loss.Count
		}
		if told.Lost > 0 {
			told.Largest = told.Largest[:min(len(told.Largest), o.MaxCauses)]
			out = append(out, told)
		}
	}
	share := func(w Window) float64 { return float64(w.Lost) / float64(w.Ended) }
	slices.SortFunc(out, func(a, b Window) int {
		return cmp.Or(cmp.Compare(share(b), share(a)), a.From.Compare(b.From))
	})
	return out[:min(len(out), o.MaxWindows)]
}

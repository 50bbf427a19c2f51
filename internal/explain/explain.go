// Package explain collects the log lines of one request from the logs of all daemons, orders them by
// time, and explains the result of the request.
//
// The package is pure: it works on logs that were collected before.
package explain

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/loglines"
)

// outcomeEnded is the outcome of an attempt that ended because the caller disconnected or the
// deadline passed.
const outcomeEnded = "ended"

// Line is one log line of a daemon, with the fields that describe the progress of a request.
type Line struct {
	Daemon  string    `json:"daemon"`
	At      time.Time `json:"@timestamp"`
	Message string    `json:"@message"`
	Request string    `json:"request"`
	Replica string    `json:"replica,omitempty"`
	Outcome string    `json:"outcome,omitempty"` // of an attempt
	Code    string    `json:"code,omitempty"`    // of a refusal
	Ran     string    `json:"ran,omitempty"`
	Status  int       `json:"status,omitempty"`
	Attempt int       `json:"try,omitempty"`
	Events  int       `json:"events,omitempty"` // forwarded to the caller
	FirstMs int64     `json:"first_ms,omitempty"`
	AfterMs int64     `json:"after_ms"`            // since the request arrived
	Waited  int64     `json:"waited_ms,omitempty"` // for room at the replicas
	For     string    `json:"waited_for,omitempty"`
	Why     string    `json:"why,omitempty"`
	Error   string    `json:"error,omitempty"`
	Cause   string    `json:"cause,omitempty"`
}

// RequestHistory contains the log lines of one request and a summary of its result.
type RequestHistory struct {
	Request string `json:"request"`
	Summary string `json:"verdict"` // one sentence
	Lines   []Line `json:"lines"`   // ordered by time
}

// Log is one daemon's log.
type Log struct {
	Daemon string
	Text   io.Reader
}

// ErrUnknownRequest reports that no log line mentions the request.
var ErrUnknownRequest = errors.New("explain: no log line mentions the request; its lines may be in another daemon's log or were suppressed under load")

// Explain reads logs and returns the history of a request. It skips lines that are not JSON lines of
// a daemon.
func Explain(request string, logs []Log) (*RequestHistory, error) {
	history := &RequestHistory{Request: request}
	outages := map[string][]Line{}
	for _, log := range logs {
		err := scan(log, func(l Line) {
			switch {
			case l.Request == request:
				history.Lines = append(history.Lines, l)
			case l.Message == loglines.KVUnavailable || l.Message == loglines.KVRecovered:
				outages[l.Daemon] = append(outages[l.Daemon], l)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	if len(history.Lines) == 0 {
		return nil, errors.Wrap(ErrUnknownRequest, request)
	}
	slices.SortStableFunc(history.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	history.Summary = summarize(history.Lines, outages)
	return history, nil
}

func scan(log Log, handle func(Line)) error {
	err := loglines.ForEach(log.Text, func(object []byte) {
		l := Line{Daemon: log.Daemon}
		if json.Unmarshal(object, &l) == nil && l.Message != "" {
			handle(l)
		}
	})
	return errors.Wrapf(err, "explain: log of %s", log.Daemon)
}

// summarize explains the result of the request in one sentence.
func summarize(lines []Line, outages map[string][]Line) string {
	last := lines[len(lines)-1]
	switch last.Message {
	case loglines.Answered:
		return describeAnswer(lines, last)
	case loglines.StreamBroken:
		return fmt.Sprintf("The stream broke after %d events and %d ms: %s.", last.Events, last.AfterMs, lastFailure(lines, last.Cause))
	case loglines.Refused:
		return describeRefusal(lines, last, outages)
	}
	return fmt.Sprintf("The logs do not contain the end of the request; the last line reports attempt %d at replica %s: %s.", last.Attempt, last.Replica, cmp.Or(last.Error, last.Outcome))
}

func describeAnswer(lines []Line, last Line) string {
	failed := 0
	for _, l := range lines {
		if l.Message == loglines.AttemptFailed {
			failed++
		}
	}
	out := fmt.Sprintf("Replica %s answered with status %d after %d ms", last.Replica, last.Status, last.AfterMs)
	if last.FirstMs > 0 {
		out += fmt.Sprintf(", with the first token after %d ms", last.FirstMs)
	}
	out += describeWait(last)
	if failed > 0 {
		out += fmt.Sprintf("; earlier failed attempts: %d", failed)
	}
	return out + "."
}

// describeWait describes how long a request waited for room, and why. It returns "" for one that did not.
func describeWait(last Line) string {
	if last.Waited == 0 {
		return ""
	}
	return fmt.Sprintf("; it waited %d ms for room: %s", last.Waited, last.For)
}

// describeRefusal explains an error that the daemon itself returned, by its code.
func describeRefusal(lines []Line, last Line, outages map[string][]Line) string {
	ran := "the request did not run"
	if last.Ran != "not_run" {
		ran = "the request may have run"
	}
	switch last.Code {
	case "overloaded":
		return fmt.Sprintf("Refused for lack of capacity: %s%s; %s.", last.Why, describeWait(last), ran)
	case "stale_table":
		return fmt.Sprintf("Refused because the daemon's copy of the desired state may be outdated: %s; %s.", describeOutage(last, outages[last.Daemon]), ran)
	case "unknown_service", "unauthorized":
		return fmt.Sprintf("Refused by the effective desired state: %s; %s.", last.Why, ran)
	case "quarantined":
		return fmt.Sprintf("Refused because replicas crashed while they ran the request: %s; %s.", last.Why, ran)
	case "draining":
		return fmt.Sprintf("Refused because the daemon was shutting down; %s.", ran)
	}
	return fmt.Sprintf("Answered with status %d (%s): %s; %s.", last.Status, last.Code, lastFailure(lines, last.Why), ran)
}

// lastFailure describes the last failed attempt, or returns fallback if there is none.
func lastFailure(lines []Line, fallback string) string {
	for _, l := range slices.Backward(lines) {
		if l.Message != loglines.AttemptFailed {
			continue
		}
		if l.Outcome == outcomeEnded {
			return fmt.Sprintf("the caller disconnected or its deadline passed during attempt %d at replica %s", l.Attempt, l.Replica)
		}
		return fmt.Sprintf("attempt %d at replica %s failed after %d ms: %s", l.Attempt, l.Replica, l.AfterMs, cmp.Or(l.Error, l.Outcome))
	}
	return fallback
}

// describeOutage returns since when the key-value service had not responded to the daemon at the time
// of a refusal, or the reason of the refusal if there was no outage.
func describeOutage(refusal Line, lines []Line) string {
	since := ""
	for _, l := range lines {
		if l.At.After(refusal.At) {
			break
		}
		since = ""
		if l.Message == loglines.KVUnavailable {
			since = fmt.Sprintf("the key-value service had not responded to %s since %s (%s)", l.Daemon, l.At.Format(time.TimeOnly), l.Error)
		}
	}
	return cmp.Or(since, refusal.Why)
}

// Package explain puts the log lines of one request in order, over all daemons, and says why
// it ended as it did.
//
// The package is pure: it reads lines that were collected before.
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

// outcomeEnded is that of a try which ended with the caller, or with the time it had.
const outcomeEnded = "ended"

// Line is one log line of a daemon, with the fields that tell a request's way.
type Line struct {
	Daemon  string    `json:"daemon"`
	At      time.Time `json:"@timestamp"`
	Message string    `json:"@message"`
	Request string    `json:"request"`
	Replica string    `json:"replica,omitempty"`
	Outcome string    `json:"outcome,omitempty"` // of a try
	Code    string    `json:"code,omitempty"`    // of a refusal
	Ran     string    `json:"ran,omitempty"`
	Status  int       `json:"status,omitempty"`
	Attempt int       `json:"try,omitempty"`
	Events  int       `json:"events,omitempty"` // passed on to the caller
	FirstMs int64     `json:"first_ms,omitempty"`
	AfterMs int64     `json:"after_ms"` // since the request came
	Why     string    `json:"why,omitempty"`
	Error   string    `json:"error,omitempty"`
	Cause   string    `json:"cause,omitempty"`
}

// RequestHistory is what became of one request.
type RequestHistory struct {
	Request string `json:"request"`
	Summary string `json:"verdict"` // one sentence
	Lines   []Line `json:"lines"`   // by time
}

// Log is one daemon's log.
type Log struct {
	Daemon string
	Text   io.Reader
}

// ErrUnknownRequest says that no line names the request.
var ErrUnknownRequest = errors.New("explain: no line names the request; its lines may be of another daemon, or were left out under load")

// Explain reads logs and returns the way of a request. Lines that are not the daemons' own
// JSON are passed over.
func Explain(request string, logs []Log) (*RequestHistory, error) {
	way := &RequestHistory{Request: request}
	outages := map[string][]Line{}
	for _, log := range logs {
		err := scan(log, func(l Line) {
			switch {
			case l.Request == request:
				way.Lines = append(way.Lines, l)
			case l.Message == loglines.KVUnavailable || l.Message == loglines.KVRecovered:
				outages[l.Daemon] = append(outages[l.Daemon], l)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	if len(way.Lines) == 0 {
		return nil, errors.Wrap(ErrUnknownRequest, request)
	}
	slices.SortStableFunc(way.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	way.Summary = verdict(way.Lines, outages)
	return way, nil
}

func scan(log Log, take func(Line)) error {
	err := loglines.ForEach(log.Text, func(object []byte) {
		l := Line{Daemon: log.Daemon}
		if json.Unmarshal(object, &l) == nil && l.Message != "" {
			take(l)
		}
	})
	return errors.Wrapf(err, "explain: log of %s", log.Daemon)
}

// verdict says in one sentence why the request ended as it did.
func verdict(lines []Line, outages map[string][]Line) string {
	last := lines[len(lines)-1]
	switch last.Message {
	case loglines.Answered:
		return answered(lines, last)
	case loglines.StreamBroken:
		return fmt.Sprintf("The stream broke off after %d events and %d ms: %s.", last.Events, last.AfterMs, lost(lines, last.Cause))
	case loglines.Refused:
		return refused(lines, last, outages)
	}
	return fmt.Sprintf("Its end is in no line; the last one tells of try %d at replica %s: %s.", last.Attempt, last.Replica, cmp.Or(last.Error, last.Outcome))
}

func answered(lines []Line, last Line) string {
	tries := 0
	for _, l := range lines {
		if l.Message == loglines.AttemptFailed {
			tries++
		}
	}
	out := fmt.Sprintf("Replica %s answered with %d after %d ms", last.Replica, last.Status, last.AfterMs)
	if last.FirstMs > 0 {
		out += fmt.Sprintf(", the first words after %d ms", last.FirstMs)
	}
	if tries > 0 {
		out += fmt.Sprintf("; %d tries before gave none", tries)
	}
	return out + "."
}

// refused explains an error of the daemon's own by its code.
func refused(lines []Line, last Line, outages map[string][]Line) string {
	ran := "it did not run"
	if last.Ran != "not_run" {
		ran = "it may have run"
	}
	switch last.Code {
	case "overloaded":
		return fmt.Sprintf("Refused for want of room: %s; %s.", last.Why, ran)
	case "stale_table":
		return fmt.Sprintf("Refused since the daemon could not be sure of the desired state: %s; %s.", outage(last, outages[last.Daemon]), ran)
	case "unknown_service", "unauthorized":
		return fmt.Sprintf("Refused by the desired state in force: %s; %s.", last.Why, ran)
	case "quarantined":
		return fmt.Sprintf("Refused since replicas died while they ran it: %s; %s.", last.Why, ran)
	case "draining":
		return fmt.Sprintf("Refused since the daemon was stopping; %s.", ran)
	}
	return fmt.Sprintf("Answered with %d (%s): %s; %s.", last.Status, last.Code, lost(lines, last.Why), ran)
}

// lost names the try that failed last, if there is one.
func lost(lines []Line, otherwise string) string {
	for _, l := range slices.Backward(lines) {
		if l.Message != loglines.AttemptFailed {
			continue
		}
		if l.Outcome == outcomeEnded {
			return fmt.Sprintf("the caller left or its time was over, in try %d at replica %s", l.Attempt, l.Replica)
		}
		return fmt.Sprintf("try %d at replica %s ended after %d ms: %s", l.Attempt, l.Replica, l.AfterMs, cmp.Or(l.Error, l.Outcome))
	}
	return otherwise
}

// outage says since when a daemon had no answer from the key-value service at a refusal.
func outage(refusal Line, of []Line) string {
	since := ""
	for _, l := range of {
		if l.At.After(refusal.At) {
			break
		}
		since = ""
		if l.Message == loglines.KVUnavailable {
			since = fmt.Sprintf("the key-value service had not answered %s since %s (%s)", l.Daemon, l.At.Format(time.TimeOnly), l.Error)
		}
	}
	return cmp.Or(since, refusal.Why)
}

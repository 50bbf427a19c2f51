package explain

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// The log lines in testdata come from daemons that met these failures. Each line begins with the
// daemon's name.
func TestExplain(t *testing.T) {
	datadriven.RunTest(t, "testdata/explain", func(t *testing.T, d *datadriven.TestData) string {
		var request string
		d.ScanArgs(t, "request", &request)
		texts := map[string]string{}
		var daemons []string
		for line := range strings.Lines(d.Input) {
			daemon, _, _ := strings.Cut(line, " ")
			if texts[daemon] == "" {
				daemons = append(daemons, daemon)
			}
			texts[daemon] += line
		}
		var logs []Log
		for _, daemon := range daemons {
			logs = append(logs, Log{Daemon: daemon, Text: strings.NewReader(texts[daemon])})
		}
		history, err := Explain(request, logs)
		if err != nil {
			return err.Error() + "\n"
		}
		out := history.Summary + "\n"
		for _, l := range history.Lines {
			out += fmt.Sprintf("%s %s after %d ms\n", l.Daemon, l.Message, l.AfterMs)
		}
		return out
	})
}

// Logs contain truncated lines, lines of other requests and lines of other programs. Explain must skip
// them, and must return ErrUnknownRequest for a request that no line mentions.
func TestForeignLinesAreSkipped(t *testing.T) {
	text := "panic: x\n{\"@message\":\n{}\n{\"@message\":3}\n\n{\"@message\":\"A request is answered\",\"request\":\"r\",\"replica\":\"i\",\"status\":200}\n"
	history, err := Explain("r", []Log{{Daemon: "d", Text: strings.NewReader(text)}})
	if err != nil || len(history.Lines) != 1 {
		t.Fatalf("%+v, %v", history, err)
	}
	if _, err := Explain("other", []Log{{Daemon: "d", Text: strings.NewReader(text)}}); !errors.Is(err, ErrUnknownRequest) {
		t.Errorf("got %v", err)
	}
}

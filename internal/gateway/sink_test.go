package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

func newTestSink(stream, fromPeer bool) (*sink, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	j := &Job{id: "r1", fromPeer: fromPeer, completion: completionBody{Stream: stream}}
	return newSink(w, j, time.Second), w
}

// A target dies in the middle of an answer, and another target starts the answer again. If
// the sink wrote all text of the second attempt, the caller would receive the beginning
// twice, or a mixture of two answers if the second target produces a different text.
func TestRetryContinuesPartialAnswer(t *testing.T) {
	out, w := newTestSink(true, false)
	write := func(texts ...string) error {
		for _, text := range texts {
			if err := out.writeText(text, "v1"); err != nil {
				return err
			}
		}
		return nil
	}
	if err := write("one ", "two "); err != nil {
		t.Fatal(err)
	}
	out.beginRetry()
	if err := write("one two th", "ree "); err != nil {
		t.Fatal(err)
	}
	out.finish(engineapi.Usage{OutputTokens: 3})
	if got := streamedText(t, w.Body.String()); got != "one two three " {
		t.Fatalf("the caller got %q", got)
	}
	out.beginRetry()
	if err := write("one too "); !errors.Is(err, errDiverged) {
		t.Fatalf("different text returned %v, want errDiverged", err)
	}
}

func streamedText(t *testing.T, body string) string {
	t.Helper()
	var text strings.Builder
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var c completionChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatal(err)
		}
		text.WriteString(c.Choices[0].Text)
	}
	return text.String()
}

// The first attempt reaches a target and is interrupted. The second is refused for lack of
// capacity. Reporting "not run" from that refusal would be wrong, since the first attempt
// may have run.
func TestRefusedRetryDoesNotReportNotRun(t *testing.T) {
	g := &Gateway{stats: newStats(tally.NoopScope), log: hclog.NewNullLogger()}
	out, w := newTestSink(false, false)
	out.j.recordOutcome(request.InDoubt)
	out.j.recordOutcome(request.NotRun)
	g.fail(out, request.Refuse(request.CodeOverloaded, http.StatusServiceUnavailable, time.Second, "no room"))
	var body errorBody
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
		t.Fatal(err)
	}
	if body.Error.Ran != request.InDoubt || w.Header().Get("Retry-After") != "1" {
		t.Fatalf("got %+v, Retry-After %q", body.Error, w.Header().Get("Retry-After"))
	}
}

// A peer relays frames of another request, or omits a frame. If the frames were accepted,
// the caller would receive a wrong or shortened answer that appears complete.
func TestHopAcceptsOnlyNextFrameOfItsRequest(t *testing.T) {
	frames := func(list ...engineapi.Frame) string {
		var b strings.Builder
		for _, f := range list {
			data, _ := json.Marshal(f)
			b.WriteString(keepAliveEvent + "data: " + string(data) + "\n\n")
		}
		return b.String()
	}
	first := engineapi.Frame{RequestID: "r1", Seq: 0, Text: "a"}
	last := engineapi.Frame{RequestID: "r1", Seq: 1, Done: true, Usage: &engineapi.Usage{OutputTokens: 1}}
	cases := []struct {
		name, body string
		complete   bool
	}{
		{"complete", frames(first, last), true},
		{"other request", frames(engineapi.Frame{RequestID: "r2", Seq: 0, Text: "b"}, last), false},
		{"missing frame", frames(last), false},
		{"truncated", frames(first), false},
		{"no usage", frames(first, engineapi.Frame{RequestID: "r1", Seq: 1, Done: true}), false},
		{"failure", frames(first) + `data: {"error":{"code":"truncated_stream","ran":"ran"},"status":502}` + "\n\n", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out, _ := newTestSink(false, false)
			err := relayHopFrames(context.Background(), out, out.j, newHopStream(strings.NewReader(c.body), func() {}))
			if (err == nil) != c.complete {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func FuzzHopEvent(f *testing.F) {
	f.Add([]byte(`{"request_id":"r","seq":0,"text":"a"}`))
	f.Add([]byte(`{"error":{"code":"x"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := decodeHopEvent(data)
		if err == nil && frame.Done && frame.Usage == nil {
			t.Fatal("accepted a last frame without usage")
		}
	})
}

func FuzzCompletionBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":3}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		j := &Job{body: data}
		refusal := parseCompletion(j)
		if refusal == nil && (j.completion.Model == "" || j.completion.Prompt == "" || j.completion.maxTokens() < 1) {
			t.Fatalf("accepted an invalid body: %+v", j.completion)
		}
		if refusal != nil && (refusal.Ran != request.NotRun || refusal.Field == "") {
			t.Fatalf("refusal without a field: %+v", refusal)
		}
	})
}

// A caller sends the id of another organisation's request, as if a peer had forwarded it.
// If the id were accepted, a target would have two requests with one id, and one caller
// could resume or cancel the other's stream.
func TestCallerCannotImpersonatePeer(t *testing.T) {
	g := &Gateway{opts: Options{DefaultDeadline: time.Second}}
	var forwarded *Job
	for _, peer := range []bool{false, true} {
		r := httptest.NewRequest(http.MethodPost, pathCompletions, nil)
		r.Header.Set(HeaderRequestID, "victim")
		r.Header.Set("X-Bluebellscale-Hop", "1")
		if peer {
			r = r.WithContext(context.WithValue(r.Context(), hopKey{}, true))
		}
		j := newJob(r, kindCompletion, nil)
		if refusal := g.initJob(r, j); refusal != nil {
			t.Fatal(refusal)
		}
		if !peer && (j.fromPeer || j.id == "victim") {
			t.Fatalf("caller's request has id %q, fromPeer %v", j.id, j.fromPeer)
		}
		forwarded = j
	}
	if !forwarded.fromPeer || forwarded.id != "victim" {
		t.Fatalf("peer's request has id %q, fromPeer %v", forwarded.id, forwarded.fromPeer)
	}
}

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

func newTestSink(stream, hopped bool) (*sink, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	j := &Job{id: "r1", hopped: hopped, completion: completionBody{Stream: stream}}
	return newSink(w, j, time.Second), w
}

// A target dies in the middle of an answer and another one starts it anew. A sink
// that simply wrote on would give the caller the head twice, or the head of one answer
// and the tail of another if the second target words it differently.
func TestSecondTryContinuesWhatTheCallerHas(t *testing.T) {
	out, w := newTestSink(true, false)
	write := func(texts ...string) error {
		for _, text := range texts {
			if err := out.text(text, "v1"); err != nil {
				return err
			}
		}
		return nil
	}
	if err := write("one ", "two "); err != nil {
		t.Fatal(err)
	}
	out.restart()
	if err := write("one two th", "ree "); err != nil {
		t.Fatal(err)
	}
	out.done(engineapi.Usage{OutputTokens: 3})
	if got := streamedText(t, w.Body.String()); got != "one two three " {
		t.Fatalf("the caller got %q", got)
	}
	out.restart()
	if err := write("one too "); !errors.Is(err, errDiverged) {
		t.Fatalf("another text gave %v, want errDiverged", err)
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

// The first try reaches a target and is cut; the second is refused for want of room.
// Passing on that refusal's "not run" would tell the caller something untrue.
func TestRefusalOfALaterTryDoesNotClaimNotRun(t *testing.T) {
	g := &Gateway{stats: newStats(tally.NoopScope), log: hclog.NewNullLogger()}
	out, w := newTestSink(false, false)
	out.j.noteRan(request.InDoubt)
	out.j.noteRan(request.NotRun)
	g.fail(out, request.Refuse(request.CodeOverloaded, http.StatusServiceUnavailable, time.Second, "no room"))
	var body errorBody
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
		t.Fatal(err)
	}
	if body.Error.Ran != request.InDoubt || w.Header().Get("Retry-After") != "1" {
		t.Fatalf("got %+v, Retry-After %q", body.Error, w.Header().Get("Retry-After"))
	}
}

// A peer relays frames of another request, or leaves one out. Taken as they come, the
// caller would get a foreign or a shorter answer that looks whole.
func TestHopTakesOnlyTheNextFrameOfItsRequest(t *testing.T) {
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
		whole      bool
	}{
		{"whole", frames(first, last), true},
		{"foreign", frames(engineapi.Frame{RequestID: "r2", Seq: 0, Text: "b"}, last), false},
		{"hole", frames(last), false},
		{"cut", frames(first), false},
		{"no usage", frames(first, engineapi.Frame{RequestID: "r1", Seq: 1, Done: true}), false},
		{"failure", frames(first) + `data: {"error":{"code":"truncated_stream","ran":"ran"},"status":502}` + "\n\n", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out, _ := newTestSink(false, false)
			err := pumpHop(context.Background(), out, out.j, newHopStream(strings.NewReader(c.body), func() {}))
			if (err == nil) != c.whole {
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
			t.Fatal("a last frame without usage was taken")
		}
	})
}

func FuzzCompletionBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":3}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		j := &Job{body: data}
		refusal := parseCompletion(j)
		if refusal == nil && (j.completion.Model == "" || j.completion.Prompt == "" || j.completion.maxTokens() < 1) {
			t.Fatalf("taken: %+v", j.completion)
		}
		if refusal != nil && (refusal.Ran != request.NotRun || refusal.Field == "") {
			t.Fatalf("refusal without a field: %+v", refusal)
		}
	})
}

// A caller names its request after another organisation's, as if a peer had forwarded
// it. Taken at its word, its target would know two requests by one name, and one
// caller could resume or cancel the other's stream.
func TestCallerCanNotPoseAsAPeer(t *testing.T) {
	g := &Gateway{opts: Options{DefaultDeadline: time.Second}}
	var hopped *Job
	for _, peer := range []bool{false, true} {
		r := httptest.NewRequest(http.MethodPost, pathCompletions, nil)
		r.Header.Set(HeaderRequestID, "victim")
		r.Header.Set("X-Bluebellscale-Hop", "1")
		if peer {
			r = r.WithContext(context.WithValue(r.Context(), hopKey{}, true))
		}
		j := newJob(r, kindCompletion, nil)
		if refusal := g.bound(r, j); refusal != nil {
			t.Fatal(refusal)
		}
		if !peer && (j.hopped || j.id == "victim") {
			t.Fatalf("a caller's request is %q, hopped %v", j.id, j.hopped)
		}
		hopped = j
	}
	if !hopped.hopped || hopped.id != "victim" {
		t.Fatalf("a peer's request is %q, hopped %v", hopped.id, hopped.hopped)
	}
}

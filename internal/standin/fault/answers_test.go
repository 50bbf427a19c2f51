package fault_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/bluebellscale/bluebellscale/internal/standin/fault"
)

const (
	plainBody  = "a body of some length"
	firstEvent = "data: first\n\n"
	lastEvent  = "data: second\n\n"
	comment    = ": waiting\n\n"
)

// serveAnswers starts a stand-in that answers with a stream at /stream and with a body elsewhere.
func serveAnswers(t *testing.T) (*fault.Switches, *fault.Server) {
	t.Helper()
	s := fault.New(fault.Options{})
	server, err := fault.Serve("127.0.0.1:0", s, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/absent" {
			http.NotFound(w, r)
			return
		}
		if r.URL.Path != "/stream" {
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, plainBody)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for _, text := range []string{comment, firstEvent, lastEvent} {
			_, _ = io.WriteString(w, text)
			w.(http.Flusher).Flush()
		}
	}))
	if err != nil {
		t.Fatal(err)
	}
	s.SetDie(func() { go server.Close() })
	t.Cleanup(func() { server.Close() })
	return s, server
}

// ask returns the answer to one request, what was received of its body, and how reading it ended.
func ask(ctx context.Context, t *testing.T, server *fault.Server, method, path string) (*http.Response, string, error) {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+server.Address()+path, strings.NewReader(""))
	if err != nil {
		t.Fatal(err)
	}
	answer, err := transport.RoundTrip(r)
	if err != nil {
		return nil, "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer, string(body), err
}

// framingOf returns what told the end of an answer.
func framingOf(r *http.Response) fault.Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return fault.FramingChunks
	case r.ContentLength >= 0:
		return fault.FramingLength
	}
	return fault.FramingNone
}

func eachFraming(t *testing.T, test func(t *testing.T, f fault.Framing, path string)) {
	for _, f := range []fault.Framing{fault.FramingLength, fault.FramingChunks, fault.FramingNone} {
		for _, path := range []string{"/body", "/stream"} {
			t.Run(fmt.Sprintf("%s%s", f, path), func(t *testing.T) { test(t, f, path) })
		}
	}
}

// TestWholeAnswersHaveFraming guards against a fault that is asked for and not played: a framing that stays as net/http chooses.
func TestWholeAnswersHaveFraming(t *testing.T) {
	eachFraming(t, func(t *testing.T, f fault.Framing, path string) {
		switches, server := serveAnswers(t)
		switches.Apply(fault.Command{Framing: &f})
		want := map[string]string{"/body": plainBody, "/stream": comment + firstEvent + lastEvent}[path]
		answer, body, err := ask(t.Context(), t, server, http.MethodPost, path)
		if err != nil || body != want || framingOf(answer) != f {
			t.Errorf("got %q, %v, %v", body, answer, err)
		}
	})
}

// TestBrokenAnswersEnd guards against a fault that is asked for and not played: an answer that is whole, or ends in another way.
func TestBrokenAnswersEnd(t *testing.T) {
	for _, end := range []fault.End{fault.EndCut, fault.EndCutInside, fault.EndReset, fault.EndKilled} {
		eachFraming(t, func(t *testing.T, f fault.Framing, path string) {
			switches, server := serveAnswers(t)
			one := 1
			switches.Apply(fault.Command{Framing: &f, BreakAnswers: &one, BreakEnd: &end})
			_, body, err := ask(t.Context(), t, server, http.MethodPost, path)
			orderly := f == fault.FramingNone && end != fault.EndReset
			if (err == nil) != orderly {
				t.Errorf("%s: reading ended with %v", end, err)
			}
			if err == nil && body != partOf(path, end) {
				t.Errorf("%s: got %q, want %q", end, body, partOf(path, end))
			}
			if end == fault.EndKilled {
				<-server.Done()
				return
			}
			if _, _, err := ask(t.Context(), t, server, http.MethodPost, path); err != nil {
				t.Errorf("%s: the next answer broke too: %v", end, err)
			}
		})
	}
}

// partOf returns what a broken answer holds.
func partOf(path string, end fault.End) string {
	switch {
	case path == "/body":
		return plainBody[:len(plainBody)/2]
	case end == fault.EndCutInside:
		return comment + firstEvent + lastEvent[:len(lastEvent)/2]
	}
	return comment + firstEvent
}

// TestSilentAnswerEndsWithItsCaller guards against a silent answer that ends, and against one that holds the stand-in for ever.
func TestSilentAnswerEndsWithItsCaller(t *testing.T) {
	eachFraming(t, func(t *testing.T, f fault.Framing, path string) {
		switches, server := serveAnswers(t)
		one, silent := 1, fault.EndSilent
		switches.Apply(fault.Command{Framing: &f, BreakAnswers: &one, BreakEnd: &silent})
		ctx, leave := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, _, err := ask(ctx, t, server, http.MethodPost, path)
			ended <- err
		}()
		pending(t, ended, func() {
			if _, _, err := ask(t.Context(), t, server, http.MethodGet, "/body"); err != nil {
				t.Fatal(err)
			}
		})
		leave()
		if err := <-ended; err == nil {
			t.Error("the answer was whole")
		}
	})
}

// TestProbesDoNotBreak guards against a switch that the daemons' probes use up.
func TestProbesDoNotBreak(t *testing.T) {
	switches, server := serveAnswers(t)
	one := 1
	switches.Apply(fault.Command{BreakAnswers: &one})
	for _, path := range []string{"/body", "/absent"} {
		if _, body, err := ask(t.Context(), t, server, http.MethodGet, path); err != nil {
			t.Errorf("a probe of %s got %q, %v", path, body, err)
		}
	}
	if _, _, err := ask(t.Context(), t, server, http.MethodPost, "/body"); err == nil {
		t.Error("the next answer did not break")
	}
}

// TestUnknownAnswerSwitchesAreRefused guards against a misspelt fault that plays nothing.
func TestUnknownAnswerSwitchesAreRefused(t *testing.T) {
	switches, server := serveAnswers(t)
	for _, command := range []string{`{"framing":"chunk"}`, `{"break_end":"cuts"}`} {
		answer, err := http.Post("http://"+server.Address()+fault.Path, "application/json", strings.NewReader(command))
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		if answer.StatusCode != http.StatusBadRequest {
			t.Errorf("%s: status %d", command, answer.StatusCode)
		}
	}
	if got := switches.Status(); got.Framing != fault.FramingDefault || got.BreakEnd != fault.EndCut {
		t.Errorf("the switches changed: %+v", got)
	}
}

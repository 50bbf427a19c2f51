package loadgen_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/bluebellscale/bluebellscale/internal/loadgen"
	"github.com/bluebellscale/bluebellscale/internal/standin/engine"
	"github.com/bluebellscale/bluebellscale/internal/standin/service"
)

const (
	testTimeout = 30 * time.Second
	orgCount    = 2
	contexts    = 3
	turns       = 2
	callCount   = 10
	maxTokens   = 8
	requests    = orgCount * (contexts*turns + callCount)
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// daemon is a fake daemon. It answers completions itself, forwards service calls to a
// stand-in, and stores their results by idempotency key. Its bool fields inject faults.
type daemon struct {
	service *service.Service

	swapAnswers     bool // answers with the text for another prompt
	truncateAnswers bool // omits the last word and ends the stream normally
	dropResults     bool // does not store results by key, and aborts the first response to each key
	falseNotRun     bool // executes the call and refuses it as not run
	refuseFirst     bool // refuses the first attempt of each request with a retry-after time
	abortFirst      bool // closes the connection on the first attempt of each request
	partFirst       bool // ends the first answer to each request in its middle, and states that it is complete
	unframedPart    bool // the same without a length and chunks

	mu       sync.Mutex
	attempts map[string]int
	results  map[string][]byte
}

func (d *daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	key := r.Header.Get(service.HeaderKey)
	switch {
	case r.URL.Path == "/v1/route":
		json.NewEncoder(w).Encode(map[string]any{"addresses": []string{r.Host}, "keep_ms": 1000})
	case !strings.HasPrefix(r.Header.Get("Authorization"), "Bearer key-"):
		d.refuse(w, "unauthorized", "not_run", 0)
	case d.refuseFirst && d.countAttempt(key+string(body)) == 1:
		d.refuse(w, "overloaded", "not_run", 1)
	case d.abortFirst && key == "" && d.countAttempt(string(body)) == 1:
		panic(http.ErrAbortHandler)
	case (d.partFirst || d.unframedPart) && d.countAttempt(key+string(body)) == 1:
		d.answerPart(w, r, key, body)
	default:
		d.answer(w, r, key, body)
	}
}

func (d *daemon) answer(w http.ResponseWriter, r *http.Request, key string, body []byte) {
	if key != "" {
		d.call(w, r, key, body)
		return
	}
	d.complete(w, body)
}

// answerPart answers with the first half of an answer.
func (d *daemon) answerPart(w http.ResponseWriter, r *http.Request, key string, body []byte) {
	whole := httptest.NewRecorder()
	d.answer(whole, r, key, body)
	if d.unframedPart {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then writes neither a length nor chunks
	}
	w.Write(whole.Body.Bytes()[:whole.Body.Len()/2])
}

func (d *daemon) countAttempt(what string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts[what]++
	return d.attempts[what]
}

func (d *daemon) refuse(w http.ResponseWriter, code, ran string, retryAfterMs int) {
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprintf(w, `{"error":{"code":%q,"message":"","ran":%q,"retry_after_ms":%d}}`, code, ran, retryAfterMs)
}

func (d *daemon) call(w http.ResponseWriter, r *http.Request, key string, body []byte) {
	d.mu.Lock()
	result := d.results[key]
	d.mu.Unlock()
	if result == nil || d.dropResults {
		r.Body = io.NopCloser(bytes.NewReader(body))
		recorder := httptest.NewRecorder()
		d.service.ServeHTTP(recorder, r)
		result = recorder.Body.Bytes()
		d.mu.Lock()
		d.results[key] = result
		d.mu.Unlock()
	}
	if d.falseNotRun {
		d.refuse(w, "no_target", "not_run", 0)
		return
	}
	if (d.dropResults || d.abortFirst) && d.countAttempt(key) == 1 {
		panic(http.ErrAbortHandler)
	}
	w.Write(result)
}

func (d *daemon) complete(w http.ResponseWriter, body []byte) {
	var req struct {
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
	}
	json.Unmarshal(body, &req)
	words := strings.SplitAfter(engine.ExpectedText(req.Prompt, req.MaxTokens), " ")
	if d.swapAnswers {
		words = strings.SplitAfter(engine.ExpectedText("another prompt", req.MaxTokens), " ")
	}
	if d.truncateAnswers {
		words = words[:len(words)-2]
	}
	for _, word := range words {
		fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", word)
	}
	tokens := len(req.Prompt) / 4
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"cached_tokens\":%d}}\n\n",
		tokens, req.MaxTokens, tokens/2)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// TestGuaranteeViolationsAreReported checks that the report shows each violated guarantee,
// and shows none if a daemon refuses requests, closes connections or is unreachable and
// the callers succeed on a retry.
func TestGuaranteeViolationsAreReported(t *testing.T) {
	for _, c := range []struct {
		name   string
		daemon *daemon
		check  func(loadgen.Report) bool
	}{
		{"correct", &daemon{}, func(r loadgen.Report) bool {
			return !r.Failed() && r.Answered == requests && r.RecomputedShare() > 0.49 && r.RecomputedShare() < 0.51
		}},
		{"refuses first attempts", &daemon{refuseFirst: true}, func(r loadgen.Report) bool {
			return !r.Failed() && r.Answered == requests && r.Refused == requests
		}},
		{"closes connections of first attempts", &daemon{abortFirst: true}, func(r loadgen.Report) bool {
			return !r.Failed() && r.Answered == requests
		}},
		{"states that parts are complete", &daemon{partFirst: true}, func(r loadgen.Report) bool {
			return r.Failed() && r.FalselyComplete == requests && r.Answered == requests && r.Lost == 0
		}},
		{"breaks answers without a length", &daemon{unframedPart: true}, func(r loadgen.Report) bool {
			return !r.Failed() && r.FalselyComplete == 0 && r.Answered == requests && r.FailedAttempts >= requests
		}},
		{"swaps answers", &daemon{swapAnswers: true}, func(r loadgen.Report) bool {
			return r.Failed() && r.Lost == orgCount*contexts*turns
		}},
		{"truncates answers", &daemon{truncateAnswers: true}, func(r loadgen.Report) bool {
			return r.Failed() && r.Lost == orgCount*contexts*turns
		}},
		{"drops results", &daemon{dropResults: true}, func(r loadgen.Report) bool {
			return r.Failed() && r.DuplicateExecutions == orgCount*callCount
		}},
		{"reports executed calls as not run", &daemon{falseNotRun: true}, func(r loadgen.Report) bool {
			return r.Failed() && r.FalseNotRun == orgCount*callCount
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			report := runAgainst(t, c.daemon)
			if !c.check(report) {
				t.Errorf("%+v", report)
			}
		})
	}
}

func runAgainst(t *testing.T, d *daemon) loadgen.Report {
	t.Helper()
	d.service = service.New(service.Options{})
	d.attempts = make(map[string]int)
	d.results = make(map[string][]byte)
	plain := httptest.NewServer(d.service)
	defer plain.Close()
	live := httptest.NewServer(d)
	defer live.Close()
	dead := httptest.NewServer(nil)
	dead.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	report, err := loadgen.Run(ctx, loadgen.Config{
		Daemons:       []string{dead.Listener.Addr().String(), live.Listener.Addr().String()},
		Services:      []string{plain.Listener.Addr().String()},
		Orgs:          []loadgen.Org{{ID: "a", Key: "key-a"}, {ID: "b", Key: "key-b"}},
		Model:         "verdict",
		Seed:          1,
		Contexts:      contexts,
		Turns:         turns,
		ContextTokens: 200,
		TurnTokens:    8,
		MaxTokens:     maxTokens,
		Service:       "label",
		Calls:         callCount,
		Callers:       2,
	})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

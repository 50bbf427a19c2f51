package transfer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// server answers with what write does.
func server(t *testing.T, write func(w http.ResponseWriter, r *http.Request)) *http.Request {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(write))
	t.Cleanup(s.Close)
	r, err := http.NewRequest(http.MethodGet, s.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// newClient returns a client with connections of its own, and what it tells of bodies.
func newClient(t *testing.T) (*Client, chan Result) {
	t.Helper()
	results := make(chan Result, 1)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &Client{HTTP: &http.Client{Transport: transport}, HeaderTimeout: 300 * time.Millisecond, OnClose: func(_ *http.Request, r Result) { results <- r }}, results
}

func send(w http.ResponseWriter, bytes int) {
	if _, err := w.Write(make([]byte, bytes)); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func TestWholeAnswerIsCounted(t *testing.T) {
	c, results := newClient(t)
	answer, err := c.Do(server(t, func(w http.ResponseWriter, _ *http.Request) { send(w, 5000) }))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(answer.Body); err != nil {
		t.Error(err)
	}
	answer.Body.Close()
	if got := <-results; got != (Result{Received: 5000, Complete: true}) {
		t.Errorf("told %+v", got)
	}
}

// An answer breaks off. Who looks into it later must see whether much or nothing had come:
// the one is a link or a time limit that is too small, the other a path that is gone.
func TestCutAnswerTellsWhatHadCome(t *testing.T) {
	c, results := newClient(t)
	answer, err := c.Do(server(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10000")
		send(w, 5000)
		panic(http.ErrAbortHandler)
	}))
	if err != nil {
		t.Fatal(err)
	}
	_, err = io.ReadAll(answer.Body)
	answer.Body.Close()
	var cut *TruncatedError
	if !errors.As(err, &cut) || cut.Received != 5000 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("the error is %v", err)
	}
	if got := <-results; got != (Result{Received: 5000}) {
		t.Errorf("told %+v", got)
	}
}

// An answer of some hundred kilobytes comes over a link that takes longer for it than any limit
// on a call. It must be read to its end: given up and asked for again it would never come.
func TestAnswerThatMakesProgressIsReadToItsEnd(t *testing.T) {
	c, results := newClient(t)
	const pieces = 25
	answer, err := c.Do(server(t, func(w http.ResponseWriter, _ *http.Request) {
		for range pieces {
			send(w, minProgress)
			time.Sleep(2 * stallTimeout / pieces)
		}
	}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(answer.Body); err != nil {
		t.Error(err)
	}
	answer.Body.Close()
	if got := <-results; got != (Result{Received: pieces * minProgress, Complete: true}) {
		t.Errorf("told %+v", got)
	}
}

// A path falls silent, or brings a few bytes now and then, in the middle of an answer. Who waits
// for it must be free to ask elsewhere soon, also where the connection stays open for long.
func TestAnswerWithoutProgressIsGivenUp(t *testing.T) {
	for _, trickle := range []int{0, 10} {
		c, results := newClient(t)
		answer, err := c.Do(server(t, func(w http.ResponseWriter, r *http.Request) {
			send(w, 2*minProgress)
			for r.Context().Err() == nil {
				time.Sleep(stallTimeout / 20)
				if trickle > 0 {
					send(w, trickle)
				}
			}
		}))
		if err != nil {
			t.Fatal(err)
		}
		begun := time.Now()
		_, err = io.ReadAll(answer.Body)
		answer.Body.Close()
		if !errors.Is(err, ErrStalled) {
			t.Errorf("trickle of %d: the error is %v", trickle, err)
		}
		if took := time.Since(begun); took > 2*stallTimeout {
			t.Errorf("trickle of %d: given up after %s", trickle, took)
		}
		if got := <-results; got.Complete || got.Received < 2*minProgress {
			t.Errorf("trickle of %d: told %+v", trickle, got)
		}
	}
}

// A service takes a call and never answers.
func TestCallWithoutAnswerIsGivenUp(t *testing.T) {
	c, _ := newClient(t)
	_, err := c.Do(server(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	if !errors.Is(err, ErrNoAnswer) {
		t.Errorf("the error is %v", err)
	}
}

// The caller ends while an answer comes: that is no fault of the service, and is not told as one.
func TestCallerThatEndsIsToldSo(t *testing.T) {
	c, results := newClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	answer, err := c.Do(server(t, func(w http.ResponseWriter, r *http.Request) {
		send(w, 100)
		<-r.Context().Done()
	}).WithContext(ctx))
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err = io.ReadAll(answer.Body); !errors.Is(err, context.Canceled) {
		t.Errorf("the error is %v", err)
	}
	answer.Body.Close()
	<-results
}

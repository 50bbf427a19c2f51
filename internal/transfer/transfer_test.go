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

// newServerRequest returns a request to a new server that responds with write.
func newServerRequest(t *testing.T, write func(w http.ResponseWriter, r *http.Request)) *http.Request {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(write))
	t.Cleanup(s.Close)
	r, err := http.NewRequest(http.MethodGet, s.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// newClient returns a client with its own connections and the results that it reports.
func newClient(t *testing.T) (*Client, chan Result) {
	t.Helper()
	results := make(chan Result, 1)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &Client{HTTP: &http.Client{Transport: transport}, HeaderTimeout: 300 * time.Millisecond, OnClose: func(_ *http.Request, r Result) { results <- r }}, results
}

func writeBytes(w http.ResponseWriter, bytes int) {
	if _, err := w.Write(make([]byte, bytes)); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func TestCompleteResponseIsCounted(t *testing.T) {
	c, results := newClient(t)
	response, err := c.Do(newServerRequest(t, func(w http.ResponseWriter, _ *http.Request) { writeBytes(w, 5000) }))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		t.Error(err)
	}
	response.Body.Close()
	if got := <-results; got != (Result{Received: 5000, Complete: true}) {
		t.Errorf("reported %+v", got)
	}
}

// The error of a truncated response must show how much had been received: many bytes indicate a link
// or timeout that is too small, none a broken network path.
func TestTruncatedResponseReportsBytesReceived(t *testing.T) {
	c, results := newClient(t)
	response, err := c.Do(newServerRequest(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10000")
		writeBytes(w, 5000)
		panic(http.ErrAbortHandler)
	}))
	if err != nil {
		t.Fatal(err)
	}
	_, err = io.ReadAll(response.Body)
	response.Body.Close()
	var truncated *TruncatedError
	if !errors.As(err, &truncated) || truncated.Received != 5000 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got error %v", err)
	}
	if got := <-results; got != (Result{Received: 5000}) {
		t.Errorf("reported %+v", got)
	}
}

// A response of several hundred kilobytes takes longer on a slow link than any timeout of a call. It
// must be read to its end, since a cancelled and repeated call would never complete.
func TestSlowResponseWithProgressIsReadCompletely(t *testing.T) {
	c, results := newClient(t)
	const pieces = 25
	response, err := c.Do(newServerRequest(t, func(w http.ResponseWriter, _ *http.Request) {
		for range pieces {
			writeBytes(w, minProgress)
			time.Sleep(2 * stallTimeout / pieces)
		}
	}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		t.Error(err)
	}
	response.Body.Close()
	if got := <-results; got != (Result{Received: pieces * minProgress, Complete: true}) {
		t.Errorf("reported %+v", got)
	}
}

// A connection stays open but stalls, or delivers only a few bytes from time to time. The call must
// be cancelled soon, so that its caller can retry elsewhere.
func TestStalledResponseIsCancelled(t *testing.T) {
	for _, trickle := range []int{0, 10} {
		c, results := newClient(t)
		response, err := c.Do(newServerRequest(t, func(w http.ResponseWriter, r *http.Request) {
			writeBytes(w, 2*minProgress)
			for r.Context().Err() == nil {
				time.Sleep(stallTimeout / 20)
				if trickle > 0 {
					writeBytes(w, trickle)
				}
			}
		}))
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		_, err = io.ReadAll(response.Body)
		response.Body.Close()
		if !errors.Is(err, ErrStalled) {
			t.Errorf("trickle of %d: got error %v", trickle, err)
		}
		if took := time.Since(start); took > 2*stallTimeout {
			t.Errorf("trickle of %d: cancelled after %s", trickle, took)
		}
		if got := <-results; got.Complete || got.Received < 2*minProgress {
			t.Errorf("trickle of %d: reported %+v", trickle, got)
		}
	}
}

// A server accepts a call and never responds.
func TestCallWithoutResponseTimesOut(t *testing.T) {
	c, _ := newClient(t)
	_, err := c.Do(newServerRequest(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	if !errors.Is(err, ErrHeaderTimeout) {
		t.Errorf("got error %v", err)
	}
}

// The caller cancels while a response is being read. The error must not blame the server.
func TestCallerCancellationIsReportedAsSuch(t *testing.T) {
	c, results := newClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	response, err := c.Do(newServerRequest(t, func(w http.ResponseWriter, r *http.Request) {
		writeBytes(w, 100)
		<-r.Context().Done()
	}).WithContext(ctx))
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err = io.ReadAll(response.Body); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v", err)
	}
	response.Body.Close()
	<-results
}

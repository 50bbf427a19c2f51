package transfer

import (
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
	return &Client{HTTP: &http.Client{Transport: transport, Timeout: 10 * time.Second}, Done: func(_ *http.Request, r Result) { results <- r }}, results
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
	if got := <-results; got != (Result{Received: 5000, Whole: true}) {
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
	var cut *CutError
	if !errors.As(err, &cut) || cut.Received != 5000 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("the error is %v", err)
	}
	if got := <-results; got != (Result{Received: 5000}) {
		t.Errorf("told %+v", got)
	}
}

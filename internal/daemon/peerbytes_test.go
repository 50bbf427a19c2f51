package daemon

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/framing"
)

func TestPeerBytesAreCounted(t *testing.T) {
	const question, answer = "question", "a longer answer"
	metrics := tally.NewTestScope("", nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counted := newCountingListener(l, metrics)
	defer counted.Close()
	served := make(chan error, 1)
	go func() { served <- answerOnce(counted, len(question), answer) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, question); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(c); err != nil || string(got) != answer {
		t.Fatalf("got %q, %v", got, err)
	}
	if err := <-served; err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]int{"peer_bytes_in+": len(question), "peer_bytes_out+": len(answer)} {
		if got := metrics.Snapshot().Counters()[name].Value(); got != int64(want) {
			t.Errorf("%s = %d, want %d", name, got, want)
		}
	}
}

func answerOnce(l net.Listener, read int, answer string) error {
	c, err := l.Accept()
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, read)); err != nil {
		return err
	}
	_, err = io.WriteString(c, answer)
	return err
}

// TestPeerConnectionCanBeReset guards against a response without a length and chunks between daemons whose connection a dead daemon's
// kernel ends in order.
func TestPeerConnectionCanBeReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		framing.ByConnection(r.Context(), w.Header())
		_, _ = io.WriteString(w, "a part") // the caller sees whether it arrived
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	s.Listener = newCountingListener(l, tally.NoopScope)
	s.Config.ConnContext = framing.ConnContext
	s.Start()
	defer s.Close()
	answer, err := http.Get(s.URL)
	if err != nil {
		return // the reset overtook the header
	}
	defer answer.Body.Close()
	if body, err := io.ReadAll(answer.Body); err == nil {
		t.Errorf("the response ended in order after %q", body)
	}
}

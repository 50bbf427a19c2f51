package daemon

import (
	"io"
	"net"
	"testing"

	"github.com/uber-go/tally/v4"
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

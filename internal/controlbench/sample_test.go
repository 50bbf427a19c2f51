package controlbench

import (
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

// TestRatesBetween checks the units: rates are per second, CPU usage is in percent of one
// core, and a byte between daemons counts for its sender and for its receiver.
func TestRatesBetween(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	a := sample{at: at, kv: kv.Counts{Reads: 10}, daemons: make([]usage, 2)}
	b := sample{
		at: at.Add(2 * time.Second), kv: kv.Counts{Reads: 30}, peerBytes: 4000, accepted: 8,
		daemons: []usage{{cpu: 20 * time.Millisecond, resident: 3e6}, {cpu: 60 * time.Millisecond, resident: 2e6}},
	}
	want := rates{reads: 10, cpuMean: 2, cpuMax: 3, residentMax: 3, peerBytes: 2000, requests: 4}
	if got := ratesBetween(a, b); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

func TestParseSentTime(t *testing.T) {
	for line, want := range map[string]int64{
		`data: {"request_id":"r","seq":3,"text":"1700000000000000001 ","version":"v1"}`: 1700000000000000001,
		`data: {"choices":[{"index":0,"text":"17 "}]}`:                                  17,
		`data: {"choices":[{"index":0,"text":""}]}`:                                     0,
		`: keep-alive`: 0,
	} {
		got, ok := parseSentTime(line)
		if ok != (want != 0) || ok && got.UnixNano() != want {
			t.Errorf("%s: got %d, %v", line, got.UnixNano(), ok)
		}
	}
}

package contextstore

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/storecache"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

// TestTimeThatCannotBeStopsNoStore guards against a record of another writer after which no owner ever frees parts, because another one may grant permits.
func TestTimeThatCannotBeStopsNoStore(t *testing.T) {
	now := time.Now().UnixMilli() + clockAhead
	for _, odd := range []record{
		{StoreEpoch: 1, Seen: now, OtherOwnerUntil: math.MaxInt64}, {StoreEpoch: 1, Seen: now, OtherOwnerUntil: now + 3_600_000},
		{StoreEpoch: 1, Seen: math.MinInt64}, {StoreEpoch: 1, Seen: now, OtherOwnerUntil: math.MinInt64},
	} {
		fake := kv.NewFake(time.Now)
		writeRecord(t, fake, "shelf", odd)
		startOwnerWith(t, fake, 10*time.Second, newFakeStore(), service("shelf", 10_000, 1000))
		written := odd
		for began := time.Now(); written == odd; time.Sleep(5 * time.Millisecond) {
			if time.Since(began) > 5*time.Second {
				t.Fatalf("%+v is not replaced", odd)
			}
			e, err := fake.Client("reader").Get(t.Context(), RecordPrefix+"shelf")
			if err != nil {
				t.Fatal(err)
			}
			if err := json.Unmarshal(e.Value, &written); err != nil {
				t.Fatal(err)
			}
		}
		at := time.Now().UnixMilli() + clockAhead
		if left := written.OtherOwnerUntil - at; left < 0 || left > 2*storecache.ReadOnlyGrace.Milliseconds() || written.Seen < 0 {
			t.Errorf("%+v is replaced by %+v: another owner may grant permits for %d ms", odd, written, left)
		}
	}
}

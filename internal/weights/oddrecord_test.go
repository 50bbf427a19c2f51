package weights

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/platform"
)

// TestOddOrderRecordEndsNoRollout guards against an order record of another writer after which no daemon rolls out weights, or orders before an earlier order has ended.
func TestOddOrderRecordEndsNoRollout(t *testing.T) {
	for _, odd := range []string{
		"", "{", "[]", "\xff", strings.Repeat("[", 20_000), `{"epoch":18446744073709551615}`, `{"epoch":9223372036854775807}`, `{"epoch":-1}`, `{"epoch":1,"ordered":[7]}`,
		`{"epoch":0,"ordered":["r0","r1"],"wait_ms":{"r0":-9223372036854775808,"r1":9223372036854775807}}`,
	} {
		fleet := newTestFleet(2)
		fleet.requested = 2
		d := fleet.newController("d1")
		ctx := context.Background()
		if _, err := fleet.fake.Client("other").CompareAndSwap(ctx, recordKey, platform.Revision(0), []byte(odd), ""); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if !d.ensureLease(ctx, began, true) {
			t.Errorf("%.60q: the controller did not begin a term", odd)
			continue
		}
		for time.Since(began) < d.o.OrderLease*8/10 {
			d.reconcile(ctx)
			time.Sleep(5 * time.Millisecond)
		}
		if n := fleet.calls.countAt(2); n != 0 {
			t.Errorf("%.60q: %d replicas are ordered before earlier orders have ended", odd, n)
		}
		reconcileUntil(t, fleet, d, 2)
	}
}

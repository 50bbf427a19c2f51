package lease_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

// TestOddRecordBlocksNoName guards against a record of another writer after which no process can hold a name, or holds it under an epoch that began anew.
func TestOddRecordBlocksNoName(t *testing.T) {
	for _, odd := range []string{
		"", "null", "{", "[]", "\xff", strings.Repeat("[", 20_000), `{"epoch":18446744073709551615}`, `{"epoch":18446744073709551615,"session":"x"}`,
		`{"epoch":9223372036854775808}`, `{"epoch":-1}`, `{"epoch":` + strings.Repeat("9", 2000) + `}`, `{"epoch":1,"session":7}`,
	} {
		ctx := context.Background()
		c := &clock{now: time.Unix(1_700_000_000, 0)}
		f := kv.NewFake(c.Now)
		first, err := newManager(f, c, "a").Acquire(ctx, "duty")
		if err != nil {
			t.Fatal(err)
		}
		writer := f.Client("other")
		e, err := writer.Get(ctx, lease.RecordPrefix+"duty")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := writer.CompareAndSwap(ctx, e.Key, e.Revision, []byte(odd), ""); err != nil {
			t.Fatal(err)
		}
		second, err := newManager(f, c, "b").Acquire(ctx, "duty")
		if odd == "null" {
			continue // an empty record: the name was never held
		}
		if err != nil {
			t.Errorf("%.60q: %v", odd, err)
			continue
		}
		if second.Epoch() <= first.Epoch() || second.ExpiredHolder() != lease.UnknownHolder || second.MayAct(0) {
			t.Errorf("%.60q: epoch %d after %d, expired holder %q, may act at once: %t", odd, second.Epoch(), first.Epoch(), second.ExpiredHolder(), second.MayAct(0))
		}
		if _, err := lease.HolderIn(platform.Entry{Value: []byte(odd), Revision: e.Revision}); err == nil || len(err.Error()) > 400 {
			t.Errorf("%.60q: got error %.400v", odd, err)
		}
	}
}

// TestLargestEpochIsHeldByOneProcess guards against a record of another writer with an epoch after which none can be told, so that every process takes the
// name from its holder.
func TestLargestEpochIsHeldByOneProcess(t *testing.T) {
	const atLast = `{"epoch":9223372032559808511}` // raised once
	for _, odd := range []string{atLast, `{"epoch":9223372036854775807}`, `{"epoch":9223372036854775806}`, `{"epoch":9223372036854775807,"session":"x"}`, `{"epoch":9223372036854775000}`} {
		ctx := context.Background()
		c := &clock{now: time.Unix(1_700_000_000, 0)}
		f := kv.NewFake(c.Now)
		key := lease.RecordPrefix + "duty"
		if _, err := f.Client("other").CompareAndSwap(ctx, key, 0, []byte(odd), ""); err != nil {
			t.Fatal(err)
		}
		for _, id := range []string{"a", "b", "c"} {
			held, err := newManager(f, c, id).Acquire(ctx, "duty")
			if err != nil {
				t.Errorf("%s: %s: %v", odd, id, err)
				break
			}
			if id == "a" && odd != atLast && held.MayAct(0) {
				t.Errorf("%s: the first holder acts at once, although another may have held the name", odd)
			}
			if _, err := newManager(f, c, "other-"+id).Acquire(ctx, "duty"); !errors.Is(err, lease.ErrHeld) {
				t.Errorf("%s: %s holds the name, another process gets %v", odd, id, err)
			}
			e, err := f.Client("other").Get(ctx, key)
			if err != nil {
				t.Fatal(err)
			}
			if h, err := lease.HolderIn(e); err != nil || h.ID != request.DaemonID(id) || h.Epoch != held.Epoch() {
				t.Errorf("%s: %s holds the name, its record names %+v, %v", odd, id, h, err)
			}
			if err := held.Release(ctx); err != nil {
				t.Fatal(err)
			}
		}
	}
}

package crashes

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/policy/poison"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

// requestTraits returns the traits of a prompt with three parts, hashed as for each request.
func requestTraits(n int) TraitsFunc {
	return func(withContent bool) []poison.Trait {
		org := poison.OrgOf("o")
		var out []poison.Trait
		for _, part := range []string{"shared", fmt.Sprint("session", n%100)} {
			t := poison.NewTrait(poison.KindPart, org, []byte(part))
			out = append(out, t, t.ForAll())
		}
		out = append(out, poison.NewTrait(poison.KindPath, org, []byte("h"), []byte("/p/")), poison.NewTrait(poison.KindModel, org, []byte("m")))
		if withContent {
			out = append(out, poison.NewTrait(poison.KindRequest, org, make([]byte, 4096)))
		}
		return out
	}
}

func newBenchTracker(poisonous int) *Tracker {
	client := kv.NewFake(time.Now).Client("d")
	c := New(Options{KV: client, Follower: mirror.New(mirror.Options{KV: client}), Params: poison.DefaultParams})
	for n := range poisonous {
		for death := range poison.DefaultParams.PartDeaths {
			c.OnPeerDeath(crashOf(partTrait(fmt.Sprint("bad", n)), fmt.Sprint("r", n, "-", death), 0))
		}
	}
	return c
}

// BenchmarkRequest measures what a request costs, from its check to its answer.
func BenchmarkRequest(b *testing.B) {
	for _, poisonous := range []int{0, 1, 20} {
		b.Run(fmt.Sprint("poisonous=", poisonous), func(b *testing.B) {
			c := newBenchTracker(poisonous)
			for n := range b.N {
				traits := requestTraits(n)
				_ = c.Refuses(traits)
				_ = c.Admit(b.Context(), traits)
				c.RecordSuccess(traits)
			}
		})
	}
}

// BenchmarkMemory measures the bytes of a full tracker.
func BenchmarkMemory(b *testing.B) {
	p := poison.DefaultParams
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := newBenchTracker(0)
		now := time.Now()
		for n := range 2 * p.MaxRecords {
			report := crashOf(partTrait(fmt.Sprint(n)), fmt.Sprint("r", n), 0)
			c.OnPeerDeath(report)
			c.registry.OnAnswered(now, nil, []poison.Trait{report.Accused[0].Trait})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(c)
	}
}

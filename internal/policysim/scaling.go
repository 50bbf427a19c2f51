package policysim

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand"
	"runtime"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/contextdir"
	"github.com/bluebellscale/bluebellscale/internal/policy/placement"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
)

const (
	scalingChainBlocks = 312 // blocks per context, about 20,000 tokens
	scalingProbes      = 500
	scalingRounds      = 2000
)

// BenchScaling prints the time and allocations of one placement, including its lookup, for
// several numbers of targets and of contexts.
func BenchScaling(out io.Writer) {
	for _, contexts := range []int{1_000, 30_000, 210_000} {
		dir, chains, bytes := filledDirectory(contexts)
		for _, targets := range []int{20, 200, 1300} {
			perCall, allocations := measure(dir, chains, targets)
			fmt.Fprintf(out, "placement targets=%d contexts=%d time=%.1fus allocations=%.1f directory_bytes_per_context=%.0f\n",
				targets, contexts, perCall.Seconds()*1e6, allocations, bytes)
		}
		runtime.KeepAlive(dir)
	}
}

var scalingScope = block.Scope{Org: "org", Model: "model", Version: "v1"}

// filledDirectory returns a directory, the chains of some returning prompts, and the heap bytes
// per context.
func filledDirectory(contexts int) (*contextdir.Directory, [][]block.Hash, float64) {
	r := rand.New(rand.NewSource(1))
	before := heapBytes()
	dir := contextdir.New(contextdir.Params{MaxContexts: contexts})
	chains := make([][]block.Hash, 0, scalingProbes)
	now := time.Unix(1_000_000, 0)
	for i := range contexts {
		chain := randomChain(r)
		dir.OnAnswer("t0", scalingScope, chain, 0, now)
		dir.OnManifestCommitted(scalingScope, chain, contextdir.Copy{
			Manifest: fmt.Sprintf("m-%064x-%d", i, i), Store: "s0", Tier: storeapi.TierMemory, Blocks: scalingChainBlocks,
		})
		if i%(contexts/scalingProbes) == 0 {
			chains = append(chains, chain)
		}
	}
	chainBytes := float64(len(chains) * scalingChainBlocks * len(block.Hash{}))
	return dir, chains, (float64(heapBytes()) - float64(before) - chainBytes) / float64(contexts)
}

func randomChain(r *rand.Rand) []block.Hash {
	chain := make([]block.Hash, scalingChainBlocks)
	for i := range chain {
		binary.LittleEndian.PutUint64(chain[i][:], r.Uint64())
		binary.LittleEndian.PutUint64(chain[i][8:], r.Uint64())
	}
	return chain
}

func measure(dir *contextdir.Directory, chains [][]block.Hash, targets int) (time.Duration, float64) {
	candidates := make([]placement.Candidate, targets)
	for i := range candidates {
		candidates[i] = placement.Candidate{ID: request.TargetID(fmt.Sprint("t", i)), QueuedPrefillTokens: i * 7919 % 30000}
	}
	copies := make([]placement.Copy, 1)
	r := placement.Request{Tokens: scalingChainBlocks * block.TokensPerBlock, BytesPerToken: 128 << 10}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	begin := time.Now()
	for i := range scalingRounds {
		located := dir.Lookup(scalingScope, chains[i%len(chains)])
		candidates[0].ResidentBlocks = located.Resident[0].Blocks / 2
		copies[0] = placement.Copy{Store: "s0", Blocks: located.Copies[0].Blocks, Link: placement.LinkState{BytesPerSec: 3e9}}
		placement.Choose(placement.Atlas(), r, candidates, copies)
	}
	elapsed := time.Since(begin)
	runtime.ReadMemStats(&after)
	return elapsed / scalingRounds, float64(after.Mallocs-before.Mallocs) / scalingRounds
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

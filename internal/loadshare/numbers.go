package loadshare

import "github.com/bluebellscale/bluebellscale/internal/replicas"

const (
	// maxWorkRequests and maxWorkTokens bound what a daemon may report of one replica.
	maxWorkRequests = 1 << 20
	maxWorkTokens   = 1 << 30
)

// workMessage returns the wire format of a daemon's work at a replica.
func workMessage(replica uint64, w replicas.Work) *Work {
	return &Work{
		Replica: replica, Requests: int32(min(w.Requests, maxWorkRequests)), Streams: int32(min(w.Streams, maxWorkRequests)),
		Tokens: int32(min(w.Tokens, maxWorkTokens)), Prefill: int32(min(w.Prefill, maxWorkTokens)), Long: int32(min(w.LongTokens, maxWorkTokens)),
	}
}

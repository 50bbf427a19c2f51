// Package kvapi defines the messages of the platform's key-value service (JSON over HTTP).
//
//	GET  /v1/get?key=K                            Entry, 404 if absent
//	GET  /v1/list?prefix=P                        ListResponse
//	POST /v1/cas                                  CASRequest -> CASResponse, 409 Conflict
//	POST /v1/lease/grant                          LeaseRequest -> LeaseResponse
//	POST /v1/lease/keepalive                      LeaseRequest -> LeaseResponse, 404 if expired
//	POST /v1/lease/revoke                         LeaseRequest
//	GET  /v1/watch?prefix=P&after=R&wait_ms=W     WatchResponse (counts as one call)
//
// Each call counts against the service's rate limits: several hundred writes and about two
// thousand reads per second. A value has at most MaxValue bytes.
package kvapi

// MaxValue is the maximum size of a value in bytes.
const MaxValue = 1 << 20

// Paths of the key-value service's endpoints.
const (
	PathGet       = "/v1/get"
	PathList      = "/v1/list"
	PathCAS       = "/v1/cas"
	PathGrant     = "/v1/lease/grant"
	PathKeepAlive = "/v1/lease/keepalive"
	PathRevoke    = "/v1/lease/revoke"
	PathWatch     = "/v1/watch"
)

// Entry is a key with its value. Revision increases with every write to the key-value service; a
// deleted key has Deleted set and no value.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	LeaseID  string `json:"lease_id,omitempty"` // the key is deleted when this lease expires
	Deleted  bool   `json:"deleted,omitempty"`
}

// CASRequest writes Value if the key's revision is Expect; 0 means the key must be absent.
type CASRequest struct {
	Key     string `json:"key"`
	Expect  uint64 `json:"expect"`
	Value   []byte `json:"value"`
	LeaseID string `json:"lease_id,omitempty"`
	Delete  bool   `json:"delete,omitempty"`
}

// CASResponse contains the new revision, or the current entry in a 409 response.
type CASResponse struct {
	Revision uint64 `json:"revision"`
	Current  *Entry `json:"current,omitempty"`
}

// ListResponse contains all entries below a prefix, ordered by key.
type ListResponse struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"`
}

// LeaseRequest grants, renews or revokes a lease.
type LeaseRequest struct {
	ID        string `json:"id,omitempty"`
	TTLMillis int64  `json:"ttl_ms,omitempty"`
}

// LeaseResponse describes a lease.
type LeaseResponse struct {
	ID        string `json:"id"`
	TTLMillis int64  `json:"ttl_ms"`
}

// WatchResponse contains the entries that changed after the requested revision, oldest first; it
// is empty if nothing changed before the wait ended.
type WatchResponse struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"` // the next watch starts after it
}

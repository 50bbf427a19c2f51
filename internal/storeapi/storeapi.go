// Package storeapi defines the messages of a store VM's HTTP interface. A store VM holds
// named immutable objects in memory or on disk, behind a link of limited bandwidth.
//
//	PUT    /v1/objects/{name}   body; header X-Digest; X-Simulated-Length paces the link
//	GET    /v1/objects/{name}   body with X-Digest; ?peek=1 does not count as a use
//	DELETE /v1/objects/{name}   409 while pinned
//	POST   /v1/tier             TierRequest
//	POST   /v1/pin              PinRequest
//	GET    /v1/list?prefix=P&contains=S&limit=N   ListResponse, least recently used first
//	GET    /v1/status           Status
//
// After an object is deleted, its name is refused permanently (410 Gone), so that a reader
// never gets other content under a name that it holds.
package storeapi

// Paths of the interface.
const (
	PathObjects = "/v1/objects/"
	PathTier    = "/v1/tier"
	PathPin     = "/v1/pin"
	PathStatus  = "/v1/status"
	PathList    = "/v1/list"
)

// Headers of the interface.
const (
	// HeaderDigest carries the SHA-256 of the content in hexadecimal.
	HeaderDigest = "X-Digest"
	// HeaderLength carries the length in bytes that counts against the link's bandwidth.
	HeaderLength = "X-Simulated-Length"
)

// Tier is the medium that holds an object in a store VM.
type Tier string

const (
	// TierMemory is the store VM's memory.
	TierMemory Tier = "memory"
	// TierDisk is the store VM's disk.
	TierDisk Tier = "disk"
)

// TierRequest moves objects to a tier.
type TierRequest struct {
	Names []string `json:"names"`
	Tier  Tier     `json:"tier"`
}

// PinRequest protects objects from being freed for the given time.
type PinRequest struct {
	Names     []string `json:"names"`
	TTLMillis int64    `json:"ttl_ms"`
}

// ListResponse lists objects, the least recently used first.
type ListResponse struct {
	Objects []ObjectInfo `json:"objects"`
}

// ObjectInfo describes one object of a list.
type ObjectInfo struct {
	Name       string `json:"name"`
	Tier       Tier   `json:"tier"`
	IdleMillis int64  `json:"idle_ms"` // since the last read or write
}

// Status reports capacity and link use.
type Status struct {
	MemoryUsed      int64 `json:"memory_used"` // bytes
	MemoryTotal     int64 `json:"memory_total"`
	DiskUsed        int64 `json:"disk_used"`
	DiskTotal       int64 `json:"disk_total"`
	LinkBytesPerSec int64 `json:"link_bytes_per_sec"`
	LinkQueueBytes  int64 `json:"link_queue_bytes"`
	BytesOut        int64 `json:"bytes_out"`
	BytesIn         int64 `json:"bytes_in"`
}

package table

import "github.com/bluebellscale/bluebellscale/internal/request"

// Organisation is a row of the organisations sheet: an organisation with its key, permissions and limits.
type Organisation struct {
	ID                request.OrgID
	KeySHA256         string                            // hexadecimal digest of the bearer key
	Weight            int                               // share of a contended target, 1..1000
	RequestsPerSecond float64                           // summed over all daemons
	Burst             int                               // requests that may exceed the rate at once
	Concurrency       int                               // concurrent requests, summed over all daemons
	TokensPerSecond   float64                           // prompt and output tokens, summed over all daemons
	Models            map[request.Model]request.Version // permitted models with their weight versions; empty version: the model's default
	Services          []string                          // permitted plain services
}

// ModelRow is a row of the models sheet.
type ModelRow struct {
	ID             request.Model
	DefaultVersion request.Version
	BytesPerToken  int64 // KV cache size
	LoadCap        int   // replicas that may load weights concurrently
}

// TargetKind distinguishes model engines from plain services.
type TargetKind string

const (
	// KindEngine is a model engine.
	KindEngine TargetKind = "engine"
	// KindService is a plain service.
	KindService TargetKind = "service"
)

// Target is a row of the targets sheet.
type Target struct {
	ID            request.TargetID
	Kind          TargetKind
	Address       string // host:port with an IP address
	FailureDomain string
	Model         request.Model   // engines
	Version       request.Version // engines: weight version to serve; empty: the model's default
	Adapter       string          // engines: adapter to serve; empty: any
	Role          string          // engines: role to serve; empty: any
	Service       string          // plain services: name of the service
	ChecksFencing bool            // the target rejects orders with an outdated epoch
	Repeatable    bool            // plain services: calls are idempotent and may be sent more than once
	Capacity      int             // concurrent requests
}

// Store is a row of the stores sheet.
type Store struct {
	ID              request.StoreID
	Address         string
	FailureDomain   string
	LinkBytesPerSec int64
}

package table

import "github.com/bluebellscale/bluebellscale/internal/request"

// Organisation is a row of the organisations sheet: who may call and how much.
type Organisation struct {
	ID                request.OrgID
	KeySHA256         string                            // hexadecimal digest of the bearer key
	Weight            int                               // share of a contended target, 1..1000
	RequestsPerSecond float64                           // over all daemons
	Burst             int                               // requests at once above the rate
	Concurrency       int                               // requests running at once, over all daemons
	TokensPerSecond   float64                           // prompt and output tokens, over all daemons
	Models            map[request.Model]request.Version // models it may use, each with the wanted version; empty version: the model's default
	Services          []string                          // plain services it may call
}

// ModelRow is a row of the models sheet.
type ModelRow struct {
	ID             request.Model
	DefaultVersion request.Version
	BytesPerToken  int64 // size of KV cache
	LoadCap        int   // replicas that may load weights at once
}

// TargetKind tells model engines from plain services.
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
	Address       string // host:port, host an IP number
	FailureDomain string
	Model         request.Model   // engines
	Version       request.Version // engines: the weight version wanted there; empty: the model's default
	Adapter       string          // engines: the adapter wanted there; empty: any
	Role          string          // engines: the role wanted there; empty: any
	Service       string          // plain services: the service's name
	ChecksFencing bool            // refuses orders with an old epoch
	Repeatable    bool            // plain services: a call may be sent twice
	Capacity      int             // requests at once
}

// Store is a row of the stores sheet.
type Store struct {
	ID              request.StoreID
	Address         string
	FailureDomain   string
	LinkBytesPerSec int64
}

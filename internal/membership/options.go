package membership

import (
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/transfer"
)

// Defaults and limits of a Service.
const (
	defaultExchangeTimeout     = time.Second
	defaultPullTimeout         = 2 * time.Second
	defaultVMInterval          = 10 * time.Second
	defaultFirstContactTimeout = 2 * time.Second
	// minUrgentInterval is the minimum time between two rounds of urgent exchanges. It
	// keeps a large edit of the table from flooding the peers.
	minUrgentInterval = 20 * time.Millisecond
	// maxInFlight limits concurrent exchanges. The Service skips exchanges above the
	// limit; later rounds make up for them.
	maxInFlight = 32
	// pullQueueSize limits the queued pulls.
	pullQueueSize = 64
	// entryRole is the role of the daemons' VMs in the VM list.
	entryRole = "entry"
)

// Options configures a Service.
type Options struct {
	Self         *peer.Member // New sets the incarnation if it is 0
	Seeds        []string     // peer addresses, host:port
	Table        Table        // may be nil
	CrashRecords CrashRecords // may be nil
	VMs          platform.VMList
	Client       *http.Client // nil: New creates a client
	Logger       hclog.Logger
	Metrics      tally.Scope
	Now          func() time.Time // nil: time.Now
	Params       Params

	ExchangeTimeout     time.Duration // 0: 1 s
	PullTimeout         time.Duration // 0: 2 s
	VMInterval          time.Duration // 0: 10 s
	FirstContactTimeout time.Duration // how long RanksInRegion waits for a first contact; 0: 2 s
}

func withDefaults(o Options) Options {
	o.Params = o.Params.withDefaults()
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.Client == nil {
		o.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: transfer.MaxHeadBytes}}
	}
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = uint64(o.Now().UnixNano())
	}
	if o.Params.Seed == 0 {
		o.Params.Seed = o.Self.Incarnation
	}
	set := func(d *time.Duration, fallback time.Duration) {
		if *d == 0 {
			*d = fallback
		}
	}
	set(&o.ExchangeTimeout, defaultExchangeTimeout)
	set(&o.PullTimeout, defaultPullTimeout)
	set(&o.VMInterval, defaultVMInterval)
	set(&o.FirstContactTimeout, defaultFirstContactTimeout)
	return o
}

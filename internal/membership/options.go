package membership

import (
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/platform"
)

// Defaults of the shell.
const (
	defaultExchangeTimeout = time.Second
	defaultPullTimeout     = 2 * time.Second
	defaultVMInterval      = 10 * time.Second
	defaultSoloAfter       = 2 * time.Second
	// urgentGap is the least time between two rounds of urgent exchanges, so that a
	// large edit of the table does not flood the peers.
	urgentGap = 20 * time.Millisecond
	// maxInFlight bounds the exchanges under way; further ones are left out, and later
	// rounds repair it.
	maxInFlight = 32
	// pullRing bounds the pulls that wait.
	pullRing = 64
	// entryRole is the role of daemons' VMs in the VM list.
	entryRole = "entry"
)

// Options configures a Service.
type Options struct {
	Self         *peer.Member // the incarnation is set at the start if it is 0
	Seeds        []string     // peer addresses, host:port
	Table        Table        // may be nil
	CrashRecords CrashRecords // may be nil
	VMs          platform.VMList
	Client       *http.Client // nil: a client of its own
	Logger       hclog.Logger
	Metrics      tally.Scope
	Now          func() time.Time // nil: time.Now
	Params       Params

	ExchangeTimeout     time.Duration // 0: 1 s
	PullTimeout         time.Duration // 0: 2 s
	VMInterval          time.Duration // 0: 10 s
	FirstContactTimeout time.Duration // a daemon that met nobody counts itself alone after this; 0: 2 s
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
		o.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}
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
	set(&o.FirstContactTimeout, defaultSoloAfter)
	return o
}

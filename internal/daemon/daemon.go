// Package daemon assembles a daemon: the gateway for callers, the coordinator of targets,
// the journal, membership and the table, their listeners, and the planned stop.
package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/config"
	"github.com/bluebellscale/bluebellscale/internal/coordinator"
	"github.com/bluebellscale/bluebellscale/internal/fleet"
	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/ingress"
	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/limiter"
	"github.com/bluebellscale/bluebellscale/internal/membership"
	"github.com/bluebellscale/bluebellscale/internal/metrics"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/planner"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/placement"
	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/suspect"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

const (
	watcherKey = "table/watcher"
	// firstFrameTimeout bounds the wait for a stream's first frame, which covers the
	// prefill of a long prompt.
	firstFrameTimeout = 60 * time.Second
	// writeTimeout bounds one write to a caller.
	writeTimeout = 30 * time.Second
	// releaseTimeout bounds the release of leases in a planned stop.
	releaseTimeout = 5 * time.Second
	// crashReportTimeout bounds the write of a crash record.
	crashReportTimeout = 5 * time.Second
	// readHeaderTimeout bounds the read of a request's header.
	readHeaderTimeout = 10 * time.Second
)

// Daemon is one daemon process.
type Daemon struct {
	config      *config.Config
	log         hclog.Logger
	metrics     tally.Scope
	scrape      http.Handler
	reporter    io.Closer // of metrics
	incarnation uint64
	started     time.Time

	callers net.Listener
	peers   net.Listener
	guards  map[listenerName]*ingress.Guard

	kv          *platform.Client
	vms         platform.VMList
	table       *table.Replica
	members     *membership.Service
	leases      *lease.Manager
	journal     *journal.Journal
	targets     *targetPool
	peerPool    *peerPool
	coordinator *coordinator.Service
	limiter     *limiter.Limiter
	planner     *planner.Planner
	suspects    *suspect.Registry
	gateway     *gateway.Gateway
	fleet       *fleet.Controller

	quorumMu sync.Mutex
	quorum   *quorum

	draining atomic.Bool
	drain    chan struct{}
}

// New opens the listeners and builds all components. No component runs before Run.
func New(c *config.Config, log hclog.Logger) (*Daemon, error) {
	callers, err := listen(c.Daemon.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "daemon: [daemon] listen = %s", c.Daemon.Listen)
	}
	peers, err := listen(c.Daemon.Peer)
	if err != nil {
		_ = callers.Close()
		return nil, errors.Wrapf(err, "daemon: [daemon] peer = %s", c.Daemon.Peer)
	}
	now := time.Now()
	d := &Daemon{
		config:      c,
		log:         log,
		incarnation: uint64(now.UnixNano()),
		started:     now,
		callers:     callers,
		peers:       peers,
		drain:       make(chan struct{}),
		quorum:      newQuorum(c.Table.StaleAfter),
	}
	d.metrics, d.scrape, d.reporter = metrics.New()
	d.newGuards()
	d.buildClusterState()
	d.buildRequestPath()
	d.buildFleet()
	return d, nil
}

// CallerAddress returns the address that serves callers.
func (d *Daemon) CallerAddress() string { return d.callers.Addr().String() }

// PeerAddress returns the address that serves peers, debug endpoints and metrics.
func (d *Daemon) PeerAddress() string { return d.peers.Addr().String() }

// instance returns an ID that is unique to each start of each daemon.
func (d *Daemon) instance() string { return fmt.Sprintf("%s.%x", d.config.Daemon.ID, d.incarnation) }

// buildClusterState builds the components that share state through the key-value service
// and peers.
func (d *Daemon) buildClusterState() {
	c := d.config
	d.kv = platform.NewClient(platform.Options{
		Addresses:       c.Platform.KV,
		ClientID:        c.Daemon.ID,
		Timeout:         c.Platform.Timeout,
		ReadsPerSecond:  c.Platform.ReadsPerSecond,
		WritesPerSecond: c.Platform.WritesPerSecond,
		Logger:          d.log,
		Metrics:         d.metrics,
	})
	if c.Platform.VMList != "" {
		d.vms = newVMCache(platform.NewVMListClient(c.Platform.VMList))
	}
	d.table = table.NewReplica(table.ReplicaOptions{KV: d.kv, Logger: d.log.Named("table"), Metrics: d.metrics})
	d.suspects = suspect.New(suspect.Options{KV: d.kv, NotifyPeers: func() { d.members.GossipNow() }, Logger: d.log, Metrics: d.metrics})
	d.members = membership.New(membership.Options{
		Self: &peer.Member{
			Id:            c.Daemon.ID,
			PeerAddress:   d.PeerAddress(),
			CallerAddress: d.CallerAddress(),
			Region:        c.Daemon.Region,
			FailureDomain: c.Daemon.FailureDomain,
			Incarnation:   d.incarnation,
		},
		Seeds:        c.Membership.Seeds,
		Table:        d.table,
		CrashRecords: d.suspects,
		VMs:          d.vms,
		Logger:       d.log,
		Metrics:      d.metrics,
		Params:       membershipParams(c.Membership, d.incarnation),
	})
	d.leases = lease.NewManager(lease.Options{
		KV:                d.kv,
		Self:              request.DaemonID(c.Daemon.ID),
		Address:           d.PeerAddress(),
		TTL:               c.Journal.LeaseTTL,
		Margin:            c.Journal.LeaseTTL / leaseMarginShare,
		WaitAfterTakeover: c.Fleet.OrderTimeout,
		Logger:            d.log,
		Metrics:           d.metrics,
	})
	d.journal = journal.New(journal.Options{
		KV:         d.kv,
		Leases:     d.leases,
		Self:       request.DaemonID(c.Daemon.ID),
		Address:    d.PeerAddress(),
		Partitions: c.Journal.Partitions,
		Standby:    journal.Standby{Active: d.onStandby, LikelyHolder: d.likelyHolder},
		Retention:  c.Journal.Keep,
		Logger:     d.log,
		Metrics:    d.metrics,
	})
	d.journal.SetPreferred(d.prefersPartition)
}

// leaseMarginShare is the divisor of a lease's TTL that gives its safety margin. A holder
// does not use the margin, which covers clock drift and process stalls between checking
// the lease and acting on it.
const leaseMarginShare = 5

func membershipParams(m config.Membership, seed uint64) membership.Params {
	return membership.Params{
		Interval:     m.Interval,
		SuspectAfter: m.SuspectAfter,
		DeadAfter:    m.DeadAfter,
		Fanout:       m.Fanout,
		Seed:         seed,
	}
}

// journalHolders returns the live daemons that may hold partitions of the journal. Their
// number does not grow with the fleet, and a daemon remains a holder while it is live.
func (d *Daemon) journalHolders() []*peer.Member {
	return d.members.Rank("journal", d.config.Journal.Holders)
}

// onStandby reports whether this daemon is not a journal holder.
func (d *Daemon) onStandby() bool {
	return !slices.ContainsFunc(d.journalHolders(), d.isSelf)
}

func (d *Daemon) isSelf(m *peer.Member) bool { return m.Id == d.config.Daemon.ID }

// assignedHolder returns the journal holder to which a partition is assigned by hash, or
// nil if there is none.
func (d *Daemon) assignedHolder(partition int) *peer.Member {
	return membership.Owner(d.journalHolders(), fmt.Sprintf("journal/%d", partition))
}

func (d *Daemon) prefersPartition(partition int) bool {
	holder := d.assignedHolder(partition)
	return holder != nil && d.isSelf(holder)
}

func (d *Daemon) likelyHolder(partition int) (journal.Holder, bool) {
	holder := d.assignedHolder(partition)
	if holder == nil {
		return journal.Holder{}, false
	}
	return journal.Holder{ID: request.DaemonID(holder.Id), Address: holder.PeerAddress}, true
}

// buildRequestPath builds the components that process a request.
func (d *Daemon) buildRequestPath() {
	c := d.config
	d.targets = newTargetPool(c.Streams, d.log, d.metrics)
	peers := newPeerPool()
	d.peerPool = peers
	d.coordinator = coordinator.New(coordinator.Options{
		Tables:       d.table,
		Members:      d.members,
		Targets:      d.targets,
		VMs:          d.vms,
		Peers:        peers,
		Instance:     d.instance(),
		PollInterval: c.Fleet.PollInterval,
		QueueLimit:   c.Admission.QueuePerTarget,
		OnTargetDied: d.reportCrash,
		Logger:       d.log,
		Metrics:      d.metrics,
	})
	d.limiter = limiter.New(limiter.Options{
		Tables: d.table, Members: d.members, Peers: peers, Logger: d.log, Metrics: d.metrics,
	})
	d.planner = planner.New(planner.Options{
		Params:       placementParams(c.Placement),
		Tables:       d.table,
		Coordinators: d.coordinator,
		Targets:      d.targets,
		OwnsStore:    func(id request.StoreID) bool { return d.isAssigned("store/" + string(id)) },
		Instance:     d.instance(),
		Seed:         d.incarnation,
		Logger:       d.log,
		Metrics:      d.metrics,
	})
	d.gateway = gateway.New(gateway.Options{
		Tables:            d.table,
		Members:           d.members,
		Limiter:           d.limiter,
		Journal:           d.journal,
		Contexts:          d.planner,
		Coordinators:      d.coordinator,
		Targets:           d.targets,
		Quarantine:        d.suspects,
		Logger:            d.log,
		Metrics:           d.metrics,
		Credits:           c.Daemon.MaxInFlight,
		MaxBody:           c.Admission.MaxPromptBytes,
		DefaultDeadline:   c.Admission.DefaultDeadline,
		Stale:             d.tableStale,
		RouteTTL:          c.Drain.RouteKeep,
		MaxResumes:        c.Streams.MaxResumes,
		Seed:              d.incarnation,
		StreamIdleTimeout: c.Streams.SilentAfter,
		FirstFrameTimeout: firstFrameTimeout,
		HopIdleTimeout:    c.Streams.SilentAfter,
		WriteTimeout:      writeTimeout,
	})
}

func (d *Daemon) buildFleet() {
	d.fleet = fleet.New(fleet.Options{
		Tables:       d.table,
		Targets:      d.targets,
		Leases:       d.leases,
		Assigned:     func() bool { return d.isAssigned("fleet") },
		Leaving:      d.coordinator.VMLeaving,
		OrderTimeout: d.config.Fleet.OrderTimeout,
		Interval:     d.config.Fleet.PollInterval,
		Logger:       d.log,
		Metrics:      d.metrics,
	})
}

func (d *Daemon) isAssigned(key string) bool {
	assigned := d.members.Owner(key)
	return assigned != nil && assigned.Id == d.config.Daemon.ID
}

// reportCrash passes the coordinator's report of a target's crash to the quarantine.
func (d *Daemon) reportCrash(t request.TargetID, incarnation uint64, fingerprints []quarantine.Fingerprint) {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	d.suspects.OnCoordinatorReport(ctx, t, incarnation, fingerprints)
}

func placementParams(p config.Placement) placement.Params {
	if p.Profile == "fonografos" {
		return placement.Fonografos()
	}
	return placement.Atlas()
}

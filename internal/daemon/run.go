package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/framing"
	"github.com/bluebellscale/bluebellscale/internal/peer"
)

// Run serves until ctx ends or Drain is called, and then performs a planned stop, which
// lets requests in flight finish. It returns nil after a planned stop.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	d.startTasks(background, &tasks)
	callers := d.serve(listenerCallers, d.callers, d.guards[listenerCallers].CountBodies(d.gateway.Handler()))
	peers := d.serve(listenerPeers, d.peers, d.peerHandler())
	d.log.Info("Daemon started", "id", d.config.Daemon.ID, "callers", d.CallerAddress(), "peers", d.PeerAddress())
	var err error
	select {
	case <-ctx.Done():
	case <-d.drain:
	case err = <-callers.failed:
	case err = <-peers.failed:
	}
	d.stop(callers, peers)
	stop()
	tasks.Wait()
	d.close()
	d.log.Info("Daemon stopped", "id", d.config.Daemon.ID)
	return err
}

// startTasks starts one goroutine for each background task.
func (d *Daemon) startTasks(ctx context.Context, tasks *sync.WaitGroup) {
	runners := []func(context.Context){
		func(ctx context.Context) { _ = d.members.Run(ctx) },
		func(ctx context.Context) {
			_ = d.table.Run(ctx, func() bool { return d.members.RanksInRegion(watcherKey, d.config.Table.Watchers) })
		},
		func(ctx context.Context) { _ = d.leases.Run(ctx) },
		func(ctx context.Context) { _ = d.journal.Run(ctx) },
		d.watchMembership,
		d.coordinator.Run,
		d.limiter.Run,
		d.planner.Run,
		d.fleet.Run,
	}
	for _, runTask := range runners {
		tasks.Go(func() { runTask(ctx) })
	}
}

// watchMembership reloads the stored quarantine records when the set of live daemons
// changes. A change moves hashed assignments, so this daemon may be the new home of a
// request whose former home has died.
func (d *Daemon) watchMembership(ctx context.Context) {
	tick := time.NewTicker(d.config.Membership.Interval)
	defer tick.Stop()
	var loaded uint64
	for {
		d.observeQuorum()
		if current := liveHash(d.members.Live()); current != loaded {
			if err := d.suspects.Load(ctx); err == nil {
				loaded = current
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// liveHash returns a hash of the IDs and incarnations of the live daemons.
func liveHash(live []*peer.Member) uint64 {
	h := xxhash.New()
	for _, m := range live {
		_, _ = fmt.Fprintf(h, "%s/%d;", m.Id, m.Incarnation) // a write to a hash never fails
	}
	return h.Sum64()
}

// server is an HTTP server of one listener.
type server struct {
	http   *http.Server
	failed chan error
}

func (d *Daemon) serve(name listenerName, l net.Listener, h http.Handler) *server {
	s := &server{
		http: &http.Server{
			Handler:           h,
			ConnContext:       framing.ConnContext,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			ErrorLog:          d.log.Named("http").StandardLogger(nil),

			DisableGeneralOptionsHandler: true, // the handler's answers carry its headers
		},
		failed: make(chan error, 1),
	}
	guard := d.guards[name]
	guard.Attach(s.http)
	l = guard.Listener(l)
	if name == listenerPeers {
		l = newCountingListener(l, d.metrics)
	}
	go func() {
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.failed <- errors.Wrapf(err, "daemon: serve %s", l.Addr())
		}
	}()
	return s
}

// Drain starts a planned stop and returns at once. It is idempotent.
func (d *Daemon) Drain() {
	if d.draining.CompareAndSwap(false, true) {
		close(d.drain)
	}
}

// staleHolderWindow is how long peers may still regard a daemon as the holder of a journal
// partition that it has released. Peers refresh the holders every two seconds.
const staleHolderWindow = 3 * time.Second

// stop performs the planned stop. It releases the journal's partitions first, while this
// daemon still responds to peers that regard it as their holder. If it closed the listener
// first, a call that a peer forwards at that moment could be sent on a connection that is
// never accepted, and its outcome would be in doubt.
//
// Callers cache a route for RouteKeep, so the daemon accepts and forwards requests for at
// least that long before it waits for the requests in flight.
func (d *Daemon) stop(callers, peers *server) {
	d.draining.Store(true)
	d.members.Leave()
	acceptFor := max(d.config.Drain.RouteKeep, staleHolderWindow)
	d.log.Info("Planned stop began", "in_flight", d.gateway.InFlight(), "accepting_for", acceptFor)
	ctx, cancel := context.WithTimeout(context.Background(), d.config.Drain.Limit)
	defer cancel()
	d.releaseLeases(ctx)
	time.Sleep(acceptFor)
	for _, s := range []*server{callers, peers} {
		if err := s.http.Shutdown(ctx); err != nil {
			d.log.Error("Planned stop reached its time limit; requests in flight are aborted", "in_flight", d.gateway.InFlight(), "error", err)
			_ = s.http.Close()
		}
	}
}

// releaseLeases releases the journal's partitions, once their calls have ended, and then
// the leases.
func (d *Daemon) releaseLeases(ctx context.Context) {
	if err := d.journal.Shutdown(ctx); err != nil {
		d.log.Warn("Journal partitions were not released and will expire", "error", err)
	}
	releaseCtx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := d.leases.Close(releaseCtx); err != nil {
		d.log.Warn("Leases were not released and will expire", "error", err)
	}
}

func (d *Daemon) close() {
	d.gateway.Shutdown()
	d.limiter.Shutdown()
	d.planner.Shutdown()
	d.coordinator.Shutdown()
	d.kv.Close()
	d.targets.close()
	d.peerPool.Reset()
	_ = d.reporter.Close() // reports the final values and never fails
}

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

	"github.com/bluebellscale/bluebellscale/internal/peer"
)

// Run serves until ctx ends or a drain was asked for, then stops as planned: no
// request in flight is cut off. It returns nil after a planned stop.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	d.startTasks(background, &tasks)
	callers := d.serve(d.callers, d.gateway.Handler())
	peers := d.serve(newCountingListener(d.peers, d.metrics), d.peerHandler())
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

// startTasks starts one goroutine for each duty.
func (d *Daemon) startTasks(ctx context.Context, tasks *sync.WaitGroup) {
	duties := []func(context.Context){
		func(ctx context.Context) { _ = d.members.Run(ctx) },
		func(ctx context.Context) {
			_ = d.table.Run(ctx, func() bool { return d.members.RanksInRegion(watcherKey, d.config.Table.Watchers) })
		},
		func(ctx context.Context) { _ = d.leases.Run(ctx) },
		func(ctx context.Context) { _ = d.journal.Run(ctx) },
		d.followMembers,
		d.stewards.Run,
		d.limiter.Run,
		d.planner.Run,
		d.fleet.Run,
	}
	for _, duty := range duties {
		tasks.Go(func() { duty(ctx) })
	}
}

// followMembers acts on changes of the live daemons. Places have then moved, so the
// stored quarantine findings are read: this daemon may be the new home of a request
// whose former home has died with it.
func (d *Daemon) followMembers(ctx context.Context) {
	tick := time.NewTicker(d.config.Membership.Interval)
	defer tick.Stop()
	var acted uint64
	for {
		d.observeQuorum()
		if seen := liveHash(d.members.Live()); seen != acted {
			if err := d.suspects.Load(ctx); err == nil {
				acted = seen
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// liveHash covers the ids and incarnations of the live daemons.
func liveHash(live []*peer.Member) uint64 {
	h := xxhash.New()
	for _, m := range live {
		_, _ = fmt.Fprintf(h, "%s/%d;", m.Id, m.Incarnation) // never fails
	}
	return h.Sum64()
}

// server is one HTTP listener being served.
type server struct {
	http   *http.Server
	failed chan error
}

func (d *Daemon) serve(l net.Listener, h http.Handler) *server {
	s := &server{
		http: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: readHeaderTimeout,
			ErrorLog:          d.log.Named("http").StandardLogger(nil),
		},
		failed: make(chan error, 1),
	}
	go func() {
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.failed <- errors.Wrapf(err, "daemon: serve %s", l.Addr())
		}
	}()
	return s
}

// Drain starts a planned stop. It returns at once and may be called again.
func (d *Daemon) Drain() {
	if d.draining.CompareAndSwap(false, true) {
		close(d.drain)
	}
}

// holdersSeen is how long peers may take a daemon for the holder of a journal partition
// after it gave the partition up: they look every two seconds.
const holdersSeen = 3 * time.Second

// stop is the planned stop. The journal's partitions are given up first, while this
// daemon still answers: peers that take it for their holder are then told that it is
// not. Were its address closed first, a call that a peer forwards at that moment could
// meet a connection that nobody accepts any more, and would be in doubt.
//
// Callers keep a route answer for a while, so the daemon goes on accepting for that long
// and forwards what comes; then it finishes what is in flight.
func (d *Daemon) stop(callers, peers *server) {
	d.draining.Store(true)
	d.members.Leave()
	keep := max(d.config.Drain.RouteKeep, holdersSeen)
	d.log.Info("Planned stop began", "in_flight", d.gateway.InFlight(), "accepting_for", keep)
	ctx, cancel := context.WithTimeout(context.Background(), d.config.Drain.Limit)
	defer cancel()
	d.release(ctx)
	time.Sleep(keep)
	for _, s := range []*server{callers, peers} {
		if err := s.http.Shutdown(ctx); err != nil {
			d.log.Error("Requests were cut off at the limit of the planned stop", "in_flight", d.gateway.InFlight(), "error", err)
			_ = s.http.Close()
		}
	}
}

// release gives up journal partitions, once their calls are concluded, and leases.
func (d *Daemon) release(ctx context.Context) {
	if err := d.journal.Shutdown(ctx); err != nil {
		d.log.Warn("Journal partitions were not released; they lapse", "error", err)
	}
	release, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := d.leases.Close(release); err != nil {
		d.log.Warn("Leases were not released; they lapse", "error", err)
	}
}

func (d *Daemon) close() {
	d.gateway.Shutdown()
	d.limiter.Shutdown()
	d.planner.Shutdown()
	d.stewards.Shutdown()
	d.kv.Close()
	d.targets.close()
	d.peerPool.Reset()
	_ = d.reporter.Close() // reports the last values; it can not fail
}

package coordinator

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/table"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

// pollTimeout bounds one poll of a target, and one read of the VM list.
const pollTimeout = 2 * time.Second

func (a *targetActor) startPolling(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel != nil || a.stopped {
		return
	}
	ctx, a.cancel = context.WithCancel(ctx)
	a.service.tasks.Go(func() { a.poll(ctx) })
}

func (a *targetActor) stopPolling() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel != nil {
		a.cancel()
		a.cancel = nil
		a.send(&resignMsg{})
	}
}

// cursor is the position up to which a target's cache events have been read.
type cursor struct {
	incarnation uint64
	after       uint64 // newest sequence number read
	// lost is set when events are missing and no snapshot has been read since. It stays
	// set until a snapshot has been read. If the snapshot were requested only once and the
	// response were lost, the target's cache would count as empty for as long as it lives.
	lost bool
}

// advance moves the cursor past a page of events.
func (c *cursor) advance(page engineapi.EventPage) {
	next := c.after + 1
	for _, e := range page.Events {
		c.lost = c.lost || e.Seq != next
		next = e.Seq + 1
	}
	// A restarted target numbers its events from the start again, and its next event may
	// happen to have the expected number.
	c.lost = c.lost || page.Next+1 != next || page.Incarnation != c.incarnation
	c.incarnation = page.Incarnation
	c.after = page.Next
}

// poll reads the target's load and cache events at each poll interval until ctx ends.
func (a *targetActor) poll(ctx context.Context) {
	tick := time.NewTicker(a.service.opts.PollInterval)
	defer tick.Stop()
	failures := 0
	cur := cursor{lost: true}
	for {
		failures = a.pollAndRecord(ctx, failures, &cur)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// pollAndRecord polls once and returns the number of consecutive failed polls.
func (a *targetActor) pollAndRecord(ctx context.Context, failures int, cur *cursor) int {
	err := a.pollOnce(ctx, cur)
	if ctx.Err() != nil {
		return failures
	}
	failures = a.recordPoll(failures, err)
	if failures >= failuresUntilDown {
		cur.lost = true // the actor has cleared the target's residency
	}
	return failures
}

// recordPoll counts consecutive failed polls. A target counts as down only after
// failuresUntilDown of them, since one lost response must not empty its queue, and only if this daemon reaches another target:
// daemons that reach this one go on with the grants that they get here.
func (a *targetActor) recordPoll(failures int, err error) int {
	if err == nil {
		return 0
	}
	failures++
	a.resetConnections()
	if failures == failuresUntilDown && !a.service.reachesOthers(a.row.ID) {
		a.service.log.Warn("This daemon reaches no target; none counts as down", "target", a.row.ID, "error", err)
		return failures - 1 // the next failed poll decides again
	}
	if failures == failuresUntilDown {
		a.service.log.Warn("Target does not respond to polls; marking it as down", "target", a.row.ID, "error", err)
		a.send(&downMsg{})
	}
	return failures
}

// reachesOthers reports whether this daemon reaches another target than one that it does not reach.
func (s *Service) reachesOthers(unreached request.TargetID) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	var others []*target.Client
	for _, t := range s.opts.Tables.Current().SampleTargets(unreached, target.MaxWitnesses, rand.IntN) {
		others = append(others, s.opts.Targets.Client(*t))
	}
	return target.PathIsSound(ctx, others)
}

// resetConnections discards the pooled connections to the target if a new connection
// works. Polls use few connections, and one that no longer delivers data would make the
// target appear down.
func (a *targetActor) resetConnections() {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	if err := a.service.opts.Targets.Client(a.row).ResetIfReachable(ctx); err != nil {
		a.service.log.Debug("Target does not respond on a new connection", "target", a.row.ID, "error", err)
	}
}

func (a *targetActor) pollOnce(ctx context.Context, cur *cursor) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	client := a.service.opts.Targets.Client(a.row)
	if a.row.Kind == table.KindService {
		return a.pollService(ctx, client)
	}
	load, err := client.Load(ctx)
	if err != nil {
		return err
	}
	load.Leaving = load.Leaving || a.vmLeaving()
	a.send(&loadMsg{load: load})
	return a.pollEvents(ctx, client, cur)
}

func (a *targetActor) pollService(ctx context.Context, client *target.Client) error {
	if err := client.Probe(ctx); err != nil {
		return err
	}
	if a.vmLeaving() {
		a.send(&leavingMsg{})
		return nil
	}
	a.send(&upMsg{})
	return nil
}

func (a *targetActor) pollEvents(ctx context.Context, client *target.Client, cur *cursor) error {
	page, err := client.Events(ctx, cur.after)
	if err != nil {
		return err
	}
	cur.advance(page)
	a.send(&eventsMsg{page: page})
	if !cur.lost {
		return nil
	}
	snapshot, err := client.Snapshot(ctx)
	if err != nil {
		return err
	}
	cur.lost = snapshot.Incarnation != cur.incarnation || snapshot.Seq < cur.after
	cur.after = max(cur.after, snapshot.Seq)
	a.send(&snapshotMsg{snapshot: snapshot})
	return nil
}

// pollVMs reads which VMs are leaving. The VM list lags and may be unavailable; the result
// of the last successful read stays effective.
func (s *Service) pollVMs(ctx context.Context) {
	if s.opts.VMs == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	vms, err := s.opts.VMs.VMs(ctx)
	if err != nil {
		s.log.Debug("Reading the VM list failed", "error", err)
		return
	}
	s.setLeaving(vms)
}

func (s *Service) setLeaving(vms []platform.VM) {
	leaving := map[string]bool{}
	for _, vm := range vms {
		if vm.Leaving {
			leaving[hostOf(vm.Address)] = true
		}
	}
	s.mu.Lock()
	s.leaving = leaving
	s.mu.Unlock()
}

// hostOf returns the host of an address, which may have a port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// VMLeaving reports whether the VM list marks a target's VM as leaving.
func (s *Service) VMLeaving(t *table.Target) bool { return s.isLeaving(hostOf(t.Address)) }

func (s *Service) isLeaving(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving[host]
}

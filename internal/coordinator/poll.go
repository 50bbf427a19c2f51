package coordinator

import (
	"context"
	"net"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/table"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

// pollTimeout bounds one question to a target.
const pollTimeout = 2 * time.Second

func (k *keeper) startPolling(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cancel != nil || k.stopped {
		return
	}
	ctx, k.cancel = context.WithCancel(ctx)
	k.service.tasks.Go(func() { k.poll(ctx) })
}

func (k *keeper) stopPolling() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cancel != nil {
		k.cancel()
		k.cancel = nil
		k.send(&resignMsg{})
	}
}

// cursor is how far a target's cache events have been read.
type cursor struct {
	incarnation uint64
	after       uint64 // newest sequence read
	// lost says that events are missing and no snapshot has been read since. It stays set
	// until one has: a target whose snapshot is asked for once only, and whose answer to
	// that is lost, would be taken to hold nothing for as long as it lives.
	lost bool
}

// take moves on by a page.
func (c *cursor) take(page engineapi.EventPage) {
	next := c.after + 1
	for _, e := range page.Events {
		c.lost = c.lost || e.Seq != next
		next = e.Seq + 1
	}
	// A restarted target counts anew and may by chance go on with the number that is due.
	c.lost = c.lost || page.Next+1 != next || page.Incarnation != c.incarnation
	c.incarnation = page.Incarnation
	c.after = page.Next
}

// poll asks the target for load and cache events until ctx ends.
func (k *keeper) poll(ctx context.Context) {
	tick := time.NewTicker(k.service.opts.PollInterval)
	defer tick.Stop()
	failures := 0
	at := cursor{lost: true}
	for {
		failures = k.pollAndJudge(ctx, failures, &at)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// pollAndJudge polls once and returns how many polls in a row have failed.
func (k *keeper) pollAndJudge(ctx context.Context, failures int, at *cursor) int {
	err := k.pollOnce(ctx, at)
	if ctx.Err() != nil {
		return failures
	}
	failures = k.judge(failures, err)
	if failures >= failuresUntilDown {
		at.lost = true // what was known of the target has been cleared
	}
	return failures
}

// judge counts failed polls. A target is down only after several: one lost answer
// must not empty its queue.
func (k *keeper) judge(failures int, err error) int {
	if err == nil {
		return 0
	}
	failures++
	k.recover()
	if failures == failuresUntilDown {
		k.service.log.Warn("Target does not answer", "target", k.row.ID, "error", err)
		k.send(&downMsg{})
	}
	return failures
}

// recover throws the pooled connections to the target away if new ones work. Polls go
// over few connections; one that has gone silent would make the target look down.
func (k *keeper) recover() {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	if err := k.service.opts.Targets.Client(k.row).ResetIfReachable(ctx); err != nil {
		k.service.log.Debug("Target does not answer on a new connection", "target", k.row.ID, "error", err)
	}
}

func (k *keeper) pollOnce(ctx context.Context, at *cursor) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	client := k.service.opts.Targets.Client(k.row)
	if k.row.Kind == table.KindService {
		return k.pollService(ctx, client)
	}
	load, err := client.Load(ctx)
	if err != nil {
		return err
	}
	load.Leaving = load.Leaving || k.vmLeaving()
	k.send(&loadMsg{load: load})
	return k.pollEvents(ctx, client, at)
}

func (k *keeper) pollService(ctx context.Context, client *target.Client) error {
	if err := client.Probe(ctx); err != nil {
		return err
	}
	if k.vmLeaving() {
		k.send(&leaveMsg{})
		return nil
	}
	k.send(&upMsg{})
	return nil
}

func (k *keeper) pollEvents(ctx context.Context, client *target.Client, at *cursor) error {
	page, err := client.Events(ctx, at.after)
	if err != nil {
		return err
	}
	at.take(page)
	k.send(&eventsMsg{page: page})
	if !at.lost {
		return nil
	}
	snapshot, err := client.Snapshot(ctx)
	if err != nil {
		return err
	}
	at.lost = snapshot.Incarnation != at.incarnation || snapshot.Seq < at.after
	at.after = max(at.after, snapshot.Seq)
	k.send(&snapMsg{snapshot: snapshot})
	return nil
}

// pollVMs reads which VMs are leaving. The list lags and may not answer; what was
// read last stays in force.
func (s *Service) pollVMs(ctx context.Context) {
	if s.opts.VMs == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	vms, err := s.opts.VMs.VMs(ctx)
	if err != nil {
		s.log.Debug("VM list was not read", "error", err)
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

// hostOf accepts an IP number with or without a port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// VMLeaving tells whether the VM list says that a target's VM is leaving.
func (s *Service) VMLeaving(t *table.Target) bool { return s.isLeaving(hostOf(t.Address)) }

func (s *Service) isLeaving(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving[host]
}

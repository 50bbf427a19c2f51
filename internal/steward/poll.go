package steward

import (
	"context"
	"net"
	"time"

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
	go k.poll(ctx)
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

// poll asks the target for load and cache events until ctx ends.
func (k *keeper) poll(ctx context.Context) {
	tick := time.NewTicker(k.service.opts.PollInterval)
	defer tick.Stop()
	failures := 0
	var after uint64
	for {
		err := k.pollOnce(ctx, &after)
		if ctx.Err() != nil {
			return
		}
		failures = k.judge(failures, err)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
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
	if err := k.service.opts.Targets.Client(k.row).RecoverSilence(ctx); err != nil {
		k.service.log.Debug("Target does not answer on a new connection", "target", k.row.ID, "error", err)
	}
}

func (k *keeper) pollOnce(ctx context.Context, after *uint64) error {
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
	return k.pollEvents(ctx, client, after)
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

func (k *keeper) pollEvents(ctx context.Context, client *target.Client, after *uint64) error {
	page, err := client.Events(ctx, *after)
	if err != nil {
		return err
	}
	gap := page.Next > *after && (len(page.Events) == 0 || page.Events[0].Seq != *after+1)
	for i := 1; i < len(page.Events); i++ {
		gap = gap || page.Events[i].Seq != page.Events[i-1].Seq+1
	}
	first := *after == 0
	if page.Next < *after {
		gap = true
	}
	*after = page.Next
	k.send(&eventsMsg{page: page})
	if !gap && !first {
		return nil
	}
	snapshot, err := client.Snapshot(ctx)
	if err != nil {
		return err
	}
	*after = max(*after, snapshot.Seq)
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

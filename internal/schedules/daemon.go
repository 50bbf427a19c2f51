package schedules

import (
	"context"

	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// once is what a schedule needs of a journal; tests put a naive one in its place.
type once interface {
	Beat(ctx context.Context)
	Scan(ctx context.Context)
	Step(ctx context.Context)
	Start(key string) (starting, *journal.Result, error)
	Finish(ticket any, r journal.Result) saving
	Abort(ctx context.Context, ticket any)
	Doubt(ctx context.Context, ticket any)
	Shutdown(ctx context.Context)
}

// starting waits for leave to run a call.
type starting interface {
	Poll() (ticket any, ok bool, err error)
	Cancel()
}

// saving waits for a result to be durable; nil if it can't be.
type saving interface {
	Poll() (ok bool, err error)
}

// newOnce builds the journal of one daemon process.
type newOnce func(service platform.KV, clock *daemonClock, id request.DaemonID) once

// realOnce is the journal under test with its leases.
type realOnce struct {
	leases  *lease.Manager
	journal *journal.Journal
}

func newRealOnce(service platform.KV, clock *daemonClock, id request.DaemonID) once {
	leases := lease.NewManager(lease.Options{KV: service, Self: id, Now: clock.Now})
	return &realOnce{leases: leases, journal: journal.New(journal.Options{
		KV: service, Leases: leases, Self: id, Partitions: partitions, Now: clock.Now,
	})}
}

func (r *realOnce) Beat(ctx context.Context) { _ = r.leases.Heartbeat(ctx) }

func (r *realOnce) Scan(ctx context.Context) { _ = r.journal.Scan(ctx) }

func (r *realOnce) Step(ctx context.Context) { r.journal.Step(ctx) }

func (r *realOnce) Start(key string) (starting, *journal.Result, error) {
	p, result, err := r.journal.Start(journal.Call{Org: organisation, Service: "cards", Key: key})
	if p == nil {
		return nil, result, err
	}
	return realStarting{p}, nil, nil
}

func (r *realOnce) Finish(ticket any, result journal.Result) saving {
	s, err := r.journal.StartFinish(ticket.(*journal.Ticket), result)
	if err != nil {
		return nil
	}
	return s
}

func (r *realOnce) Abort(ctx context.Context, ticket any) {
	_ = r.journal.Abort(ctx, ticket.(*journal.Ticket))
}

func (r *realOnce) Doubt(ctx context.Context, ticket any) {
	_ = r.journal.MarkInDoubt(ctx, ticket.(*journal.Ticket))
}

func (r *realOnce) Shutdown(ctx context.Context) {
	_ = r.journal.Shutdown(ctx)
	_ = r.leases.Close(ctx)
}

type realStarting struct{ *journal.Pending }

func (s realStarting) Poll() (any, bool, error) {
	t, ok, err := s.Pending.Poll()
	if t == nil {
		return nil, ok, err
	}
	return t, ok, err
}

package schedules

import (
	"context"

	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// journalAPI is the subset of a journal that a schedule uses. Tests substitute naive
// implementations.
type journalAPI interface {
	Heartbeat(ctx context.Context)
	Scan(ctx context.Context)
	Step(ctx context.Context)
	Start(key string) (pendingStart, *journal.Result, error)
	Finish(ticket any, r journal.Result) pendingSave
	Abort(ctx context.Context, ticket any)
	MarkInDoubt(ctx context.Context, ticket any)
	Shutdown(ctx context.Context)
}

// pendingStart waits for the ticket that permits a call to run.
type pendingStart interface {
	Poll() (ticket any, ok bool, err error)
	Cancel()
}

// pendingSave waits for a result to become durable. It is nil if the result can't be written.
type pendingSave interface {
	Poll() (ok bool, err error)
}

// journalFactory builds the journal of one daemon process.
type journalFactory func(service platform.KV, clock *daemonClock, id request.DaemonID) journalAPI

// realJournal is the journal under test and its lease manager.
type realJournal struct {
	leases  *lease.Manager
	journal *journal.Journal
}

func newRealJournal(service platform.KV, clock *daemonClock, id request.DaemonID) journalAPI {
	leases := lease.NewManager(lease.Options{KV: service, Self: id, Now: clock.Now})
	return &realJournal{leases: leases, journal: journal.New(journal.Options{
		KV: service, Leases: leases, Self: id, Partitions: partitions, Now: clock.Now,
	})}
}

func (r *realJournal) Heartbeat(ctx context.Context) { _ = r.leases.Heartbeat(ctx) }

func (r *realJournal) Scan(ctx context.Context) { _ = r.journal.Scan(ctx) }

func (r *realJournal) Step(ctx context.Context) { r.journal.Step(ctx) }

func (r *realJournal) Start(key string) (pendingStart, *journal.Result, error) {
	p, result, err := r.journal.StartBegin(journal.Call{Org: organisation, Service: "cards", Key: key})
	if p == nil {
		return nil, result, err
	}
	return realPendingStart{p}, nil, nil
}

func (r *realJournal) Finish(ticket any, result journal.Result) pendingSave {
	s, err := r.journal.StartFinish(ticket.(*journal.Ticket), result)
	if err != nil {
		return nil
	}
	return s
}

func (r *realJournal) Abort(ctx context.Context, ticket any) {
	_ = r.journal.Abort(ctx, ticket.(*journal.Ticket))
}

func (r *realJournal) MarkInDoubt(ctx context.Context, ticket any) {
	_ = r.journal.MarkInDoubt(ctx, ticket.(*journal.Ticket))
}

func (r *realJournal) Shutdown(ctx context.Context) {
	_ = r.journal.Shutdown(ctx)
	_ = r.leases.Close(ctx)
}

type realPendingStart struct{ *journal.PendingTicket }

func (s realPendingStart) Poll() (any, bool, error) {
	t, ok, err := s.PendingTicket.Poll()
	if t == nil {
		return nil, ok, err
	}
	return t, ok, err
}

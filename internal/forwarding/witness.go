package forwarding

import (
	"context"
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/reach"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// peerCheckTimeout bounds the checks of a replica by other daemons, which wait up to 250 ms for a connection.
const peerCheckTimeout = 500 * time.Millisecond

// askPeers returns what some other daemons say of a replica that this one does not reach. Requests that broke at the same time share the
// answers.
func (o *Observer) askPeers(unreached *replicas.Replica) []reach.Testimony {
	if o.o.Peers == nil {
		return nil
	}
	info := unreached.Info()
	question := &CheckRequest{Replica: string(info.ID), Address: info.Address}
	answers, _, _ := o.checks.Do(question.Replica+" "+question.Address, func() (any, error) { return o.ask(question), nil }) // no error
	return answers.([]reach.Testimony)
}

// ask asks maxWitnesses other daemons at most, at the same time.
func (o *Observer) ask(question *CheckRequest) []reach.Testimony {
	ctx, cancel := context.WithTimeout(context.Background(), peerCheckTimeout)
	defer cancel()
	peers := o.o.Peers()
	peers = peers[:min(maxWitnesses, len(peers))]
	answers := make(chan reach.Testimony, len(peers))
	for _, address := range peers {
		go func() { answers <- o.askPeer(ctx, address, question) }()
	}
	testimonies := make([]reach.Testimony, len(peers))
	for i := range testimonies {
		testimonies[i] = <-answers // ctx bounds each call
	}
	o.o.Metrics.Counter("replica_checks_by_peers").Inc(1)
	o.o.Logger.Info("Other daemons have checked a replica", "replica", question.Replica, "asked", len(peers),
		"reached", reach.Count(testimonies, reach.Reaches), "not_reached", reach.Count(testimonies, reach.Fails))
	return testimonies
}

func (o *Observer) askPeer(ctx context.Context, address string, question *CheckRequest) reach.Testimony {
	r, err := NewWitnessProtobufClient("http://"+address, o.o.Client).Check(ctx, question)
	if err != nil {
		o.o.Logger.Debug("A daemon did not say whether it reaches a replica", "daemon", address, "replica", question.Replica, "error", err)
		return reach.NoAnswer
	}
	switch r.Finding {
	case Finding_FINDING_REACHED:
		return reach.Reaches
	case Finding_FINDING_NOT_REACHED:
		return reach.Fails
	}
	return reach.NoAnswer
}

// witness serves the questions of other daemons.
type witness struct{ set *replicas.Set }

// NewWitnessHandler returns the handler of other daemons' questions about the replicas of a set. It serves WitnessPathPrefix.
func NewWitnessHandler(set *replicas.Set) http.Handler { return NewWitnessServer(witness{set}) }

// Check implements Witness. A connection that was accepted before the question doesn't count.
func (w witness) Check(ctx context.Context, q *CheckRequest) (*CheckResponse, error) {
	r := w.set.Get(request.TargetID(q.Replica))
	if r == nil || r.Info().Address != q.Address {
		return &CheckResponse{}, nil
	}
	if r.IsDown(ctx, time.Time{}, time.Now()) {
		return &CheckResponse{Finding: Finding_FINDING_NOT_REACHED}, nil
	}
	return &CheckResponse{Finding: Finding_FINDING_REACHED}, nil
}

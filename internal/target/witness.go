package target

import (
	"context"

	"github.com/cockroachdb/errors"
)

// MaxWitnesses is the number of other targets to probe in order to tell a target's death from the loss of the path to it.
const MaxWitnesses = 3

// PathIsSound reports whether one of some targets, other than one that is not reached, accepts a connection. If none does, the path
// from this daemon is lost, and the target may be alive. Without others the path counts as sound.
func PathIsSound(ctx context.Context, others []*Client) bool {
	if len(others) == 0 {
		return true
	}
	reached := make(chan bool, len(others))
	for _, c := range others {
		go func() { reached <- !errors.Is(c.Probe(ctx), ErrUnreachable) }()
	}
	for range others {
		if <-reached {
			return true
		}
	}
	return false
}

// Package actors creates actor systems that log through the daemon's logger.
package actors

import (
	"log/slog"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"
)

// NewSystem returns an actor system that writes its warnings to log. The daemon does not
// use its clustering, remoting and discovery.
func NewSystem(log hclog.Logger) *actor.ActorSystem {
	writer := log.Named("actor").StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn})
	handler := slog.NewTextHandler(writer, &slog.HandlerOptions{Level: slog.LevelWarn})
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(handler)
	}))
}

// Package actors starts actor systems that log like the rest of the daemon.
package actors

import (
	"log/slog"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"
)

// NewSystem returns an actor system whose warnings go to log. Its clustering, remoting
// and discovery stay unused.
func NewSystem(log hclog.Logger) *actor.ActorSystem {
	writer := log.Named("actor").StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn})
	handler := slog.NewTextHandler(writer, &slog.HandlerOptions{Level: slog.LevelWarn})
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(handler)
	}))
}

package main

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v2"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/engine"
	"github.com/bluebellscale/bluebellscale/internal/standin/fault"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
	"github.com/bluebellscale/bluebellscale/internal/standin/service"
	"github.com/bluebellscale/bluebellscale/internal/standin/store"
	"github.com/bluebellscale/bluebellscale/internal/standin/vmlist"
)

const (
	timeScaleFlag   = "time-scale"
	defaultLink     = 3 << 30
	defaultDiskRate = 1 << 30
	defaultMemory   = 64 << 30
	defaultDisk     = 512 << 30
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "a model engine replica",
		Flags: commonFlags(
			&cli.StringFlag{Name: "name", Usage: "replica name in reports to the weight store"},
			&cli.StringFlag{Name: "model", Required: true},
			&cli.StringFlag{Name: "version", Required: true, Usage: "weight version loaded at startup"},
			&cli.StringFlag{Name: "role"},
			&cli.Float64Flag{Name: timeScaleFlag, Value: 1, Usage: "real seconds per nominal second"},
			&cli.IntFlag{Name: "max-running", Usage: "maximum number of requests in the batch"},
			&cli.IntFlag{Name: "max-queued", Usage: "maximum number of requests waiting for the batch"},
			&cli.IntFlag{Name: "blocks", Usage: "capacity of the prefix cache in blocks"},
			&cli.Int64Flag{Name: "kv-per-token", Usage: "bytes of KV cache per token"},
			&cli.DurationFlag{Name: "event-lag", Usage: "nominal delay of cache events"},
			&cli.DurationFlag{Name: "load-lag", Usage: "nominal interval at which the load report is renewed"},
			&cli.DurationFlag{Name: "load-time", Usage: "nominal duration of a weight load"},
			&cli.DurationFlag{Name: "keep-streams", Usage: "real time for which a finished stream stays readable"},
			&cli.BoolFlag{Name: "checks-epoch", Usage: "reject orders with an old epoch"},
			&cli.StringFlag{Name: "weights", Usage: "address of the VM list stand-in, which counts weight loads"},
		),
		Action: runEngine,
	}
}

func runEngine(c *cli.Context) error {
	o := engine.Options{
		Name:            c.String("name"),
		Model:           request.Model(c.String("model")),
		Version:         request.Version(c.String("version")),
		Role:            c.String("role"),
		TimeScale:       c.Float64(timeScaleFlag),
		MaxRunning:      c.Int("max-running"),
		MaxQueued:       c.Int("max-queued"),
		TotalBlocks:     c.Int("blocks"),
		KVBytesPerToken: c.Int64("kv-per-token"),
		EventLag:        c.Duration("event-lag"),
		LoadReportLag:   c.Duration("load-lag"),
		WeightLoadTime:  c.Duration("load-time"),
		StreamRetention: c.Duration("keep-streams"),
		ChecksEpoch:     c.Bool("checks-epoch"),
		Switches:        newSwitches(c),
	}
	if address := c.String("weights"); address != "" {
		o.WeightStore = engine.NewRemoteWeightStore(address)
	}
	e := engine.New(o)
	defer e.Close()
	return serve(c, e.Switches(), e.Handler())
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "a plain service instance",
		Flags: commonFlags(
			&cli.DurationFlag{Name: "delay", Value: 5 * time.Millisecond, Usage: "duration of one execution"},
		),
		Action: func(c *cli.Context) error {
			switches := newSwitches(c)
			s := service.New(service.Options{Delay: c.Duration("delay"), Switches: switches})
			return serve(c, switches, s)
		},
	}
}

func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "a store VM",
		Flags: commonFlags(
			&cli.Int64Flag{Name: "memory", Value: defaultMemory, Usage: "capacity of the memory tier in bytes"},
			&cli.Int64Flag{Name: "disk", Value: defaultDisk, Usage: "capacity of the disk tier in bytes"},
			&cli.Float64Flag{Name: "link", Value: defaultLink, Usage: "nominal bytes per second of the link; 0: unlimited"},
			&cli.Float64Flag{Name: "disk-rate", Value: defaultDiskRate, Usage: "nominal bytes per second of the disk tier; 0: unlimited"},
			&cli.Float64Flag{Name: timeScaleFlag, Value: 1, Usage: "real seconds per nominal second"},
			&cli.BoolFlag{Name: "evict", Usage: "evict the least recently used objects when full"},
		),
		Action: func(c *cli.Context) error {
			switches := newSwitches(c)
			s := store.New(store.Options{
				MemoryBytes:     c.Int64("memory"),
				DiskBytes:       c.Int64("disk"),
				LinkBytesPerSec: c.Float64("link"),
				DiskBytesPerSec: c.Float64("disk-rate"),
				TimeScale:       c.Float64(timeScaleFlag),
				Evict:           c.Bool("evict"),
				Switches:        switches,
			})
			return serve(c, switches, s.Handler())
		},
	}
}

func vmlistCommand() *cli.Command {
	return &cli.Command{
		Name:  "vmlist",
		Usage: "the VM list and the weight store's load counter",
		Flags: commonFlags(
			&cli.DurationFlag{Name: "lag", Usage: "delay before readers see a change of the list"},
			&cli.IntFlag{Name: "load-cap", Usage: "concurrent weight loads at full speed; 0: no limit"},
		),
		Action: func(c *cli.Context) error {
			list := vmlist.New(vmlist.Options{Lag: c.Duration("lag"), LoadCap: c.Int("load-cap")})
			return serve(c, newSwitches(c), list)
		},
	}
}

// kvCommand runs the key-value service. It serves its own fault switches at /fault. The
// fault switches of its connections are served at a separate address.
func kvCommand() *cli.Command {
	return &cli.Command{
		Name:  "kv",
		Usage: "the key-value service",
		Flags: commonFlags(
			&cli.Float64Flag{Name: "reads", Usage: "maximum reads per second; 0: no limit"},
			&cli.Float64Flag{Name: "writes", Usage: "maximum writes per second; 0: no limit"},
			&cli.StringFlag{Name: "fault-listen", Usage: "address that serves the fault switches of the connections; empty: none"},
			&cli.StringFlag{Name: "fault-addr-file", Usage: "file to write the actual fault-listen address to"},
		),
		Action: runKV,
	}
}

func runKV(c *cli.Context) error {
	switches := newSwitches(c)
	listener, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if address := c.String("fault-listen"); address != "" {
		control, err := fault.Serve(address, switches, http.NotFoundHandler())
		if err != nil {
			return err
		}
		defer control.Close()
		if err := writeAddress(c.String("fault-addr-file"), control.Address()); err != nil {
			return err
		}
	}
	if err := announce(c, listener.Addr().String()); err != nil {
		return err
	}
	return kv.Serve(c.Context, fault.NewListener(listener, switches), kv.Options{
		ReadsPerSecond:  c.Float64("reads"),
		WritesPerSecond: c.Float64("writes"),
	})
}

package main

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/config"
	"github.com/bluebellscale/bluebellscale/internal/daemon"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/standin/engine"
	"github.com/bluebellscale/bluebellscale/internal/standin/fault"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
	"github.com/bluebellscale/bluebellscale/internal/standin/store"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

const (
	model       = "verdict"
	orgKey      = "bench-key"
	engineCount = 8
	storeCount  = 2
	daemonCount = 2
	// engineBlocks is the capacity of one engine's prefix cache, which holds the prompts of
	// about 12 s.
	engineBlocks      = 1000
	bytesPerToken     = 128 << 10
	storeBytes        = 1 << 40
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// cluster runs daemons and the stand-ins of the services around them.
type cluster struct {
	linkRate float64 // of one store, bytes per second
	kv       string
	engines  []string
	stores   []string
	daemons  []*daemon.Daemon
	closers  []func()
}

func newCluster(speed float64) *cluster {
	const meanPrompt = (minPromptTokens + maxPromptTokens) / 2
	return &cluster{linkRate: speed * requestRate * meanPrompt * bytesPerToken / storeCount}
}

func (c *cluster) close() {
	for i := len(c.closers) - 1; i >= 0; i-- {
		c.closers[i]()
	}
}

func (c *cluster) start(ctx context.Context, v variant) error {
	if err := c.startKV(); err != nil {
		return err
	}
	for i := range engineCount {
		if err := c.startEngine(i); err != nil {
			return err
		}
	}
	for range v.stores {
		if err := c.startStore(); err != nil {
			return err
		}
	}
	if err := c.writeTable(ctx); err != nil {
		return err
	}
	for i := range daemonCount {
		if err := c.startDaemon(fmt.Sprint("d", i+1), v.profile); err != nil {
			return err
		}
	}
	return c.awaitReady(ctx)
}

func (c *cluster) startKV() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = kv.Serve(ctx, l, kv.Options{})
	}()
	c.kv = l.Addr().String()
	c.closers = append(c.closers, func() { stop(); <-done })
	return nil
}

func (c *cluster) startEngine(i int) error {
	e, server, err := engine.Start("127.0.0.1:0", engine.Options{
		Model: model, Version: "v1", TotalBlocks: engineBlocks, KVBytesPerToken: bytesPerToken, Incarnation: uint64(i + 1),
	})
	if err != nil {
		return err
	}
	c.engines = append(c.engines, server.Address())
	c.closers = append(c.closers, func() { _ = server.Close(); e.Close() })
	return nil
}

func (c *cluster) startStore() error {
	s := store.New(store.Options{MemoryBytes: storeBytes, DiskBytes: storeBytes, LinkBytesPerSec: c.linkRate})
	server, err := fault.Serve("127.0.0.1:0", fault.New(fault.Options{}), s.Handler())
	if err != nil {
		return err
	}
	c.stores = append(c.stores, server.Address())
	c.closers = append(c.closers, func() { _ = server.Close() })
	return nil
}

func (c *cluster) writeTable(ctx context.Context) error {
	var targets, stores strings.Builder
	for i, address := range c.engines {
		fmt.Fprintf(&targets, "engine-%d,engine,%s,conche,%s,,,true,false,16\n", i+1, address, model)
	}
	for i, address := range c.stores {
		fmt.Fprintf(&stores, "store-%d,%s,pack,%.0f\n", i+1, address, c.linkRate)
	}
	organisation := fmt.Sprintf("bench,%x,10,1000,1000,500,100000000,%s,\n", sha256.Sum256([]byte(orgKey)), model)
	sheet := func(name, header, rows string) table.File {
		return table.File{Name: name + ".csv", Data: []byte(header + "\n" + rows)}
	}
	client := platform.NewClient(platform.Options{Addresses: []string{c.kv}, ClientID: "bench"})
	editor := table.NewEditor(table.EditorOptions{KV: client, Operator: "bench"})
	plan, err := editor.Plan(ctx, []table.File{
		sheet("organisations", "id,key_sha256,weight,requests_per_second,burst,concurrency,tokens_per_second,models,services", organisation),
		sheet("models", "id,default_version,bytes_per_token,load_cap", fmt.Sprintf("%s,v1,%d,2\n", model, bytesPerToken)),
		sheet("targets", "id,kind,address,failure_domain,model,version,service,checks_fencing,repeatable,capacity", targets.String()),
		sheet("stores", "id,address,failure_domain,link_bytes_per_sec", stores.String()),
	})
	if err != nil {
		return errors.Wrap(err, "table")
	}
	_, err = editor.Apply(ctx, plan)
	return errors.Wrap(err, "table")
}

func (c *cluster) startDaemon(id, profile string) error {
	seeds := ""
	if len(c.daemons) > 0 {
		seeds = c.daemons[0].PeerAddress()
	}
	settings, err := config.Parse(fmt.Appendf(nil, `
[daemon]
id = %s
region = fes
failure_domain = conche
listen = 127.0.0.1:0
peer = 127.0.0.1:0
[platform]
kv = %s
[membership]
seeds = %s
[placement]
profile = %s
[drain]
route_keep = 100ms
`, id, c.kv, seeds, profile))
	if err != nil {
		return err
	}
	d, err := daemon.New(settings, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	c.daemons = append(c.daemons, d)
	c.closers = append(c.closers, func() { stop(); <-done })
	return nil
}

func (c *cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, d := range c.daemons {
		for !ready(d) {
			select {
			case <-time.After(readyPollInterval):
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "daemons are not ready")
			}
		}
	}
	return nil
}

func ready(d *daemon.Daemon) bool {
	resp, err := http.Get("http://" + d.PeerAddress() + "/debug/state")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var state struct {
		Table   struct{ Revision uint64 }
		Members []struct{ State string }
	}
	return json.NewDecoder(resp.Body).Decode(&state) == nil && state.Table.Revision > 0 && len(state.Members) == daemonCount
}

func (c *cluster) addresses() []string {
	var out []string
	for _, d := range c.daemons {
		out = append(out, d.CallerAddress())
	}
	return out
}

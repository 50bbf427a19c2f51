package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/ingress/crowdtest"
	"github.com/bluebellscale/bluebellscale/internal/peer"
)

const (
	crowdMemoryMB    = 134 // of a small VM; what its process holds stays below
	crowdDescriptors = 600 // that the daemon may open
	// crowdOpenDescriptors leaves the daemon a third of its descriptors for targets, stores, peers and the key-value service.
	crowdOpenDescriptors = crowdDescriptors * 2 / 3
	crowdTime            = 6 * time.Second
	crowdHead            = "POST /v1/services/cards/print HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + atlasKey + "\r\n"
)

// daemonProcess is a daemon of a cluster in a process of its own.
type daemonProcess struct {
	t              *testing.T
	cmd            *exec.Cmd
	callers, peers string // addresses
}

func (c *cluster) startProcess(t *testing.T, program string) *daemonProcess {
	t.Helper()
	dir := t.TempDir()
	settings, addresses := filepath.Join(dir, "settings.ini"), filepath.Join(dir, "addresses")
	text := fmt.Sprintf("[daemon]\nid = crowded\nregion = fes\nfailure_domain = conche\nlisten = 127.0.0.1:0\npeer = 127.0.0.1:0\n"+
		"[platform]\nkv = %s\n[membership]\nseeds = %s\ninterval = 50ms\nsuspect_after = 1s\ndead_after = 2s\n"+
		"[journal]\npartitions = 4\nlease_ttl = 2s\n[placement]\nprofile = fonografos\n[fleet]\norder_timeout = 300ms\n", c.kv, c.daemons[0].PeerAddress())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	script := fmt.Sprintf("ulimit -n %d; exec %s --config %s --addr-file %s", crowdDescriptors, program, settings, addresses)
	p := &daemonProcess{t: t, cmd: exec.Command("sh", "-c", script)}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { defer close(ended); _ = p.cmd.Wait() }() // it is killed at the end
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // fails if it has ended
		<-ended
	})
	p.await("the daemon's addresses", func() bool {
		raw, err := os.ReadFile(addresses)
		if err != nil {
			return false
		}
		p.callers, p.peers, _ = strings.Cut(strings.TrimSpace(string(raw)), "\n")
		return true
	})
	return p
}

func (p *daemonProcess) await(what string, condition func() bool) {
	p.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			p.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// requireServed requires that an ordinary caller gets an answer, with as many tries as it needs.
func (p *daemonProcess) requireServed() {
	p.t.Helper()
	p.await("an ordinary request is served", func() bool {
		req, err := http.NewRequest(http.MethodPost, "http://"+p.callers+"/v1/services/cards/print", strings.NewReader("card"))
		if err != nil {
			p.t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+atlasKey)
		req.Header.Set("Idempotency-Key", fmt.Sprint("ordinary-", time.Now().UnixNano()))
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	})
}

// TestCrowdIsBounded guards against clients that fill the memory of a VM or take all descriptors of the daemon.
func TestCrowdIsBounded(t *testing.T) {
	program := buildProgram(t)
	c := newCluster(t, 1, 1)
	lines := crowdtest.ShortNames(15<<10, "\r\n")
	whole := append([]byte(crowdHead+"Content-Length: 0\r\n"), append(lines, "\r\n"...)...)
	crowds := map[string]crowdtest.Crowd{
		"head of short names without end":  {Clients: 300, Send: crowdtest.SendHeld([]byte(crowdHead), crowdtest.ShortNames(60<<10, "\r\n"))},
		"line without end":                 {Clients: 300, Send: crowdtest.SendWithoutEnd([]byte(crowdHead+"a: "), bytes.Repeat([]byte("x"), 8<<10))},
		"whole requests one after another": {Clients: 500, Send: crowdtest.SendWithoutEnd(nil, whole)},
		"silent clients":                   {Clients: 900, Send: crowdtest.SendHeld()},
	}
	call := []byte("POST /twirp/bluebellscale.peer.Gossip/Exchange HTTP/1.1\r\nHost: h\r\nContent-Type: application/protobuf\r\nContent-Length: 100000000\r\n\r\n")
	chunked := []byte("POST /twirp/bluebellscale.peer.Gossip/Exchange HTTP/1.1\r\nHost: h\r\nContent-Type: application/protobuf\r\nTransfer-Encoding: chunked\r\n\r\n")
	t.Run("peers, chunked calls without end", func(t *testing.T) {
		chunk := fmt.Appendf(nil, "ea60\r\n%s\r\n", bytes.Repeat([]byte("x"), 60_000))
		c.requireBounded(t, program, crowdtest.Crowd{Clients: 300, Send: crowdtest.SendWithoutEnd(chunked, chunk)}, "peers")
	})
	t.Run("peers, calls without end", func(t *testing.T) {
		c.requireBounded(t, program, crowdtest.Crowd{Clients: 300, Send: crowdtest.SendWithoutEnd(call, bytes.Repeat([]byte("x"), 60_000))}, "peers")
	})
	for name, crowd := range crowds {
		for _, listener := range []string{"callers", "peers"} {
			t.Run(listener+", "+name, func(t *testing.T) { c.requireBounded(t, program, crowd, listener) })
		}
	}
}

// sendGossip sends calls that name daemons that don't exist, no two alike, until the connection fails.
func sendGossip(ctx context.Context, c net.Conn, _ int) {
	const members = 2000 // some 200 KB
	for ctx.Err() == nil {
		r := &peer.ExchangeRequest{From: "crowd"}
		for range members {
			id := fmt.Sprint("daemon-", gossiped.Add(1))
			r.Updates = append(r.Updates, &peer.Member{
				Id: id, PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:1", Region: "fes", FailureDomain: "conche", Incarnation: 1, Heartbeat: 1,
			})
		}
		body, err := proto.Marshal(r)
		if err != nil {
			return
		}
		head := fmt.Appendf(nil, "POST /twirp/bluebellscale.peer.Gossip/Exchange HTTP/1.1\r\nHost: h\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n", len(body))
		if _, err := c.Write(append(head, body...)); err != nil {
			return
		}
	}
}

// gossiped counts the daemons that don't exist.
var gossiped atomic.Int64

// TestCrowdOfGossipIsBounded guards against daemons that don't exist, each of which is remembered.
func TestCrowdOfGossipIsBounded(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.requireBounded(t, buildProgram(t), crowdtest.Crowd{Clients: 8, Send: sendGossip}, "peers")
}

// TestCrowdOfLargePromptsIsBounded guards against callers whose bodies, each inside max_prompt_bytes and never ended, together fill the memory of a VM.
func TestCrowdOfLargePromptsIsBounded(t *testing.T) {
	c := newCluster(t, 1, 1)
	const bodyBytes = 4 << 20 // max_prompt_bytes
	head := fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", crowdHead, bodyBytes)
	crowd := crowdtest.Crowd{Clients: 60, Send: crowdtest.SendHeld(head, bytes.Repeat([]byte("x"), bodyBytes-1))}
	c.requireBounded(t, buildProgram(t), crowd, "callers")
}

// TestCrowdThatReadsNothingIsBounded guards against answers that fill the memory of a VM because their clients don't read them.
func TestCrowdThatReadsNothingIsBounded(t *testing.T) {
	program := buildProgram(t)
	c := newCluster(t, 1, 1)
	get := func(path string) crowdtest.Crowd {
		q := fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", path, atlasKey)
		return crowdtest.Crowd{Clients: 500, Deaf: true, Send: crowdtest.SendWithoutEnd(nil, bytes.Repeat(q, 16))}
	}
	t.Run("callers, routes", func(t *testing.T) { c.requireBounded(t, program, get("/v1/route"), "callers") })
	t.Run("peers, state dumps", func(t *testing.T) { c.requireBounded(t, program, get("/debug/state"), "peers") })
	t.Run("peers, metrics", func(t *testing.T) { c.requireBounded(t, program, get("/metrics"), "peers") })
}

func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "bluebellscaled")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/bluebellscaled").CombinedOutput(); err != nil {
		t.Fatalf("building the daemon: %v\n%s", err, out)
	}
	return program
}

func (c *cluster) requireBounded(t *testing.T, program string, crowd crowdtest.Crowd, listener string) {
	p := c.startProcess(t, program)
	p.requireServed()
	address := map[string]string{"callers": p.callers, "peers": p.peers}[listener]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients := crowd.Meet(ctx, address)
	watched, stop := context.WithTimeout(ctx, crowdTime)
	defer stop()
	held, err := crowdtest.Watch(watched, p.cmd.Process.Pid, address)
	if err != nil {
		t.Fatal(err)
	}
	p.requireServed()
	cancel()
	clients.Wait()
	memory, alive := crowdtest.PeakMemory(p.cmd.Process.Pid)
	if !alive {
		t.Fatal("the daemon has ended")
	}
	t.Logf("peak: %d MB resident, %d MB unread, %d MB unsent, %d descriptors", memory>>20, held.Unread>>20, held.Unsent>>20, held.Descriptors)
	if memory+held.Unread+held.Unsent > crowdMemoryMB<<20 {
		t.Errorf("the daemon holds %d MB resident, %d MB unread and %d MB unsent, its VM has %d MB", memory>>20, held.Unread>>20, held.Unsent>>20, crowdMemoryMB)
	}
	if held.Descriptors > crowdOpenDescriptors {
		t.Errorf("the daemon has %d descriptors open, want %d at most of %d", held.Descriptors, crowdOpenDescriptors, crowdDescriptors)
	}
	p.requireServed()
}

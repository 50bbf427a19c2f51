package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// restartDelay is the short delay after which the platform starts an ended process again.
	restartDelay = 300 * time.Millisecond
	// memoryInterval is how often the platform looks at the memory of processes.
	memoryInterval = 10 * time.Millisecond
)

// daemon is a process of the project on a machine, which the platform starts again when it ends.
type daemon struct {
	name, zone, ip            string
	memoryMB                  int
	callers, ready, directory string // addresses
	settings                  string // path
	program                   string
	rec                       *record
	logFile                   *os.File

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	stopping bool
	peakKB   int
	overs    int // how often it was killed for its memory
	ends     int // how often it ended by itself
}

// bounds are the figures of a deployment that the settings hold.
var deploymentBounds = map[string]string{
	"bounds.config_apply_ms": "2000", "bounds.drain_ms": "2000", "bounds.grace_s": "8", "bounds.lease_ms": "3000", "bounds.version_ms": "8000",
	"bounds.retry_budget_ratio": "0.2", "bounds.budget_extra_retries": "54", "bounds.budget_window_s": "10", "bounds.ttl_max_s": "5",
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)

// newDaemon writes the settings of a daemon from the project's template, as the platform does.
func newDaemon(root, dir, name, zone string, memoryMB int, storeAddress string, rec *record) *daemon {
	d := &daemon{name: name, zone: zone, ip: "127.0.0.1", memoryMB: memoryMB, rec: rec, settings: filepath.Join(dir, name+".ini"),
		program: filepath.Join(root, "target/bluebellscaled")}
	d.callers, d.ready, d.directory = freeAddress(), freeAddress(), freeAddress()
	_, peer, _ := net.SplitHostPort(freeAddress())
	values := map[string]string{
		"node_name": name, "zone": zone, "region": "attica", "ip": d.ip, "limits.memory_mb": strconv.Itoa(memoryMB), "limits.cpu_cores": "1",
		"limits.cpu_share": "0.4", "limits.bandwidth_mbps": "1000.0", "limits.file_descriptors": "4200",
		"listen_addresses.frontend_address": d.callers, "listen_addresses.readiness_address": d.ready, "listen_addresses.directory": d.directory,
		"internal_port_range": peer + "," + peer, "platform.address": storeAddress,
	}
	for k, v := range deploymentBounds {
		values[k] = v
	}
	raw, err := os.ReadFile(filepath.Join(root, "deploy/settings.ini.tmpl"))
	if err != nil {
		fatal("settings: %v", err)
	}
	text := string(raw)
	// The only list that the template goes through.
	before, rest, _ := strings.Cut(text, "{{#zones}}\n")
	_, after, _ := strings.Cut(rest, "{{/zones}}")
	text = before + "booth-hall = attica\nmix-hall = attica\narchive-hall = attica\n" + after
	// The metrics stand at a fixed port of the machine's address; all machines share one address here.
	text = strings.ReplaceAll(text, "{{ip}}:9464", freeAddress())
	text = placeholder.ReplaceAllStringFunc(text, func(p string) string { return values[strings.Trim(p, "{}")] })
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		fatal("settings: %v", err)
	}
	if d.logFile, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		fatal("log: %v", err)
	}
	return d
}

// usedPorts are those that were given out; portsMu guards them.
var (
	portsMu   sync.Mutex
	usedPorts = map[int]bool{}
)

// freeAddress returns an address whose port is free for TCP and UDP, and given out once only. It lies below the ports of outgoing channels.
func freeAddress() string {
	portsMu.Lock()
	defer portsMu.Unlock()
	for range 1000 {
		port := 12000 + rand.IntN(18000)
		address := fmt.Sprint("127.0.0.1:", port)
		if !usedPorts[port] && isFree(address) {
			usedPorts[port] = true
			return address
		}
	}
	fatal("no free port")
	return ""
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer l.Close()
	u, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	u.Close()
	return true
}

func (d *daemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	cmd := exec.Command(d.program, "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BLUEBELLSCALE_NODE_FILE=" + d.settings, "BLUEBELLSCALE_DESCRIPTORS=4200"}
	cmd.Stdout, cmd.Stderr = d.logFile, d.logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fatal("start: %v", err)
	}
	d.cmd, d.ended = cmd, make(chan struct{})
	go d.supervise(cmd, d.ended)
	go d.watchMemory(cmd, d.ended)
}

// supervise starts the process again after it has ended.
func (d *daemon) supervise(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	close(ended)
	d.mu.Lock()
	over := d.stopping
	if !over {
		d.ends++
	}
	d.mu.Unlock()
	if over {
		return
	}
	d.rec.say("process   %s ended: %v", d.name, err)
	time.Sleep(restartDelay)
	d.mu.Lock()
	over = d.stopping
	d.mu.Unlock()
	if !over {
		d.start()
	}
}

// watchMemory kills the process when it exceeds the memory of its machine, as the platform does. Only anonymous memory counts here: neither the
// program's own pages nor the kernel's buffers.
func (d *daemon) watchMemory(cmd *exec.Cmd, ended chan struct{}) {
	path := fmt.Sprintf("/proc/%d/status", cmd.Process.Pid)
	for {
		select {
		case <-ended:
			return
		case <-time.After(memoryInterval):
		}
		kb := anonymousKB(path)
		d.mu.Lock()
		d.peakKB = max(d.peakKB, kb)
		d.mu.Unlock()
		if kb <= d.memoryMB*1024 {
			continue
		}
		d.mu.Lock()
		d.overs++
		d.mu.Unlock()
		d.rec.say("process   %s holds %d MB, its machine has %d MB: killed", d.name, kb/1024, d.memoryMB)
		_ = cmd.Process.Kill()
		<-ended
		return
	}
}

func anonymousKB(path string) int {
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb
		}
	}
	return 0
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(s) // fails only if it has ended
}

// stop ends the process for good.
func (d *daemon) stop() {
	d.mu.Lock()
	d.stopping = true
	cmd, ended := d.cmd, d.ended
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-ended
	d.logFile.Close()
}

func (d *daemon) state() (peakMB, overs, ends int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peakKB / 1024, d.overs, d.ends
}

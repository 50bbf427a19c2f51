package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemon is a process of the system, started as the deploy file says.
type daemon struct {
	name     string
	ip       string
	callers  string
	store    string // the address that it knows for the store
	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// metricsPort is the port that the template of the settings names.
const metricsPort = "9464"

// freeAddress returns a loopback address on which the metrics' port is free. n makes it differ from others of this run.
func freeAddress(n int) (string, error) {
	for i := range 200 {
		k := os.Getpid()*7 + n + i*31
		ip := fmt.Sprintf("127.%d.%d.%d", 10+k/200/200%200, 1+k/200%200, 1+k%200)
		l, err := net.Listen("tcp", net.JoinHostPort(ip, metricsPort))
		if err != nil {
			continue
		}
		l.Close()
		return ip, nil
	}
	return "", fmt.Errorf("no loopback address has port %s free", metricsPort)
}

// freePorts returns different ports that are free at an address.
func freePorts(ip string, n int) ([]string, error) {
	var ports []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close() // only then, so that no port is drawn twice
		_, port, err := net.SplitHostPort(l.Addr().String())
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	return ports, nil
}

// newDaemon writes the settings of a daemon, filled in from the project's template.
func newDaemon(root, dir, name, zone string, n int, storeAddress string) (*daemon, error) {
	ip, err := freeAddress(n)
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return net.JoinHostPort(ip, ports[i]) }
	values := map[string]string{
		"node_name": name, "zone": zone, "region": "fes", "ip": ip,
		"limits.memory_mb": "284", "limits.cpu_cores": "1", "limits.cpu_share": "0.4", "limits.bandwidth_mbps": "1000.0",
		"listen_addresses.frontend_address": at(0), "listen_addresses.readiness_address": at(1), "listen_addresses.directory": at(2),
		"internal_port_range": ports[3] + "," + ports[3], "platform.address": storeAddress,
		"bounds.config_apply_ms": "2000", "bounds.drain_ms": "2000", "bounds.grace_s": "8", "bounds.lease_ms": "3000", "bounds.version_ms": "8000",
		"bounds.retry_budget_ratio": "0.2", "bounds.budget_extra_retries": "56", "bounds.budget_window_s": "10", "bounds.ttl_max_s": "5",
		"bounds.cold_overage": "", "bounds.cold_slack": "",
	}
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "settings.ini.tmpl"))
	if err != nil {
		return nil, err
	}
	text := string(raw)
	for key, value := range values {
		text = strings.ReplaceAll(text, "{{"+key+"}}", value)
	}
	if before, rest, found := strings.Cut(text, "{{#zones}}"); found {
		_, after, _ := strings.Cut(rest, "{{/zones}}")
		text = before + "conche-hall = fes\ntemper-hall = fes\npack-hall = fes\n" + after
	}
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("the template of the settings has fields that this stand-in does not fill in")
	}
	d := &daemon{name: name, ip: ip, callers: at(0), store: storeAddress, settings: filepath.Join(dir, name+".ini")}
	return d, os.WriteFile(d.settings, []byte(text), 0o600)
}

func (d *daemon) start(root, dir string) error {
	log, err := os.Create(filepath.Join(dir, d.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	d.cmd = exec.Command("target/bluebellscaled", "platform")
	d.cmd.Dir = root
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "BLUEBELLSCALE_NODE_FILE=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func() {
		_ = d.cmd.Wait() // the exit status of a killed process says nothing
		close(d.ended)
	}()
	return nil
}

func (d *daemon) kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	_ = d.cmd.Process.Kill() // fails if it has ended
	<-d.ended
}

// awaitReady waits until the daemon says that it is ready.
func (d *daemon) awaitReady(within time.Duration) error {
	text, err := os.ReadFile(d.settings)
	if err != nil {
		return err
	}
	_, rest, _ := strings.Cut(string(text), "readiness = ")
	address, _, _ := strings.Cut(rest, "\n")
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + address + "/bluebellscale/readiness")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("daemon %s is not ready after %s", d.name, within)
}

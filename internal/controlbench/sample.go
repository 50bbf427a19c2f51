package controlbench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/sleep"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

const (
	// ticksPerSecond is the unit of CPU times in /proc (USER_HZ).
	ticksPerSecond = 100
	// utimeField and stimeField are indexes of fields in /proc/PID/stat, counted from the
	// process state, which is the first field after the name.
	utimeField, stimeField = 11, 12
	metricPrefix           = "bluebellscale_"
)

// usage is the resource usage of one process.
type usage struct {
	cpu      time.Duration // since the start of the process
	resident int64         // bytes, current
}

func readUsage(p *process) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid()))
	if err != nil {
		return usage{}, errors.Wrap(err, "CPU time")
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, err := strconv.ParseInt(fields[utimeField], 10, 64)
	if err != nil {
		return usage{}, errors.Wrap(err, "CPU time")
	}
	system, err := strconv.ParseInt(fields[stimeField], 10, 64)
	if err != nil {
		return usage{}, errors.Wrap(err, "CPU time")
	}
	resident, err := readResident(p)
	return usage{cpu: time.Duration(user+system) * time.Second / ticksPerSecond, resident: resident}, err
}

func readResident(p *process) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid()))
	if err != nil {
		return 0, errors.Wrap(err, "memory")
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kib << 10, errors.Wrap(err, "memory")
		}
	}
	return 0, errors.Newf("no VmRSS in the status of process %s", p.name)
}

// sample holds the values of all counters at one time.
type sample struct {
	at        time.Time
	kv        kv.Counts
	daemons   []usage
	peerBytes float64 // bytes between daemons, each counted once
	accepted  float64 // number of requests that daemons accepted
}

func (c *cluster) sample(ctx context.Context) (sample, error) {
	s := sample{at: time.Now()}
	if err := c.getJSON(ctx, c.kv.addresses[0]+kv.PathCounts, &s.kv); err != nil {
		return s, err
	}
	for _, d := range c.daemons {
		u, err := readUsage(d)
		if err != nil {
			return s, err
		}
		s.daemons = append(s.daemons, u)
		values, err := c.metrics(ctx, d)
		if err != nil {
			return s, err
		}
		s.peerBytes += values["peer_bytes_in"] + values["peer_bytes_out"]
		s.accepted += values["requests_accepted"]
	}
	return s, nil
}

func (c *cluster) getJSON(ctx context.Context, address string, out any) error {
	body, err := c.fetch(ctx, address)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, out), address)
}

func (c *cluster) fetch(ctx context.Context, address string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	if err != nil {
		return nil, errors.Wrap(err, address)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, address)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return body, errors.Wrap(err, address)
}

// metrics returns the unlabelled metrics of a daemon.
func (c *cluster) metrics(ctx context.Context, d *process) (map[string]float64, error) {
	body, err := c.fetch(ctx, d.addresses[1]+"/metrics")
	if err != nil {
		return nil, err
	}
	values := map[string]float64{}
	for line := range strings.Lines(string(body)) {
		name, text, ok := strings.Cut(strings.TrimSpace(line), " ")
		value, err := strconv.ParseFloat(text, 64)
		if ok && err == nil {
			values[strings.TrimPrefix(name, metricPrefix)] = value
		}
	}
	return values, nil
}

func (c *cluster) metric(ctx context.Context, d *process, name string) (float64, error) {
	values, err := c.metrics(ctx, d)
	return values[name], err
}

// rates holds the usage between two samples. Rates are per second.
type rates struct {
	reads, writes, watches float64 // calls to the key-value service
	kvBytes                float64
	cpuMean, cpuMax        float64 // percent of one core, per daemon
	residentMax            float64 // MB, maximum over the daemons
	peerBytes              float64 // per daemon, sent and received
	requests               float64
}

func ratesBetween(a, b sample) rates {
	seconds := b.at.Sub(a.at).Seconds()
	s := rates{
		reads:    float64(b.kv.Reads-a.kv.Reads) / seconds,
		writes:   float64(b.kv.Writes-a.kv.Writes) / seconds,
		watches:  float64(b.kv.Watches-a.kv.Watches) / seconds,
		kvBytes:  float64(b.kv.Bytes-a.kv.Bytes) / seconds,
		requests: (b.accepted - a.accepted) / seconds,
	}
	n := float64(len(b.daemons))
	// The sum of the daemons' metrics counts each byte once. The factor 2 accounts for the
	// sending and the receiving daemon.
	s.peerBytes = 2 * (b.peerBytes - a.peerBytes) / seconds / n
	for i, u := range b.daemons {
		cpu := 100 * (u.cpu - a.daemons[i].cpu).Seconds() / seconds
		s.cpuMean += cpu / n
		s.cpuMax = max(s.cpuMax, cpu)
		s.residentMax = max(s.residentMax, float64(u.resident)/1e6)
	}
	return s
}

// observe returns the rates over an interval of the given length.
func (c *cluster) observe(ctx context.Context, length time.Duration) (rates, error) {
	before, err := c.sample(ctx)
	if err != nil {
		return rates{}, err
	}
	if err := sleep.For(ctx, length); err != nil {
		return rates{}, err
	}
	after, err := c.sample(ctx)
	return ratesBetween(before, after), err
}

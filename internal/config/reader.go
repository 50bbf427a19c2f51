package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Problem is one invalid setting.
type Problem struct {
	Section string
	Key     string
	Value   string
	Allowed string
}

// String returns the problem as a message for operators.
func (p Problem) String() string {
	return fmt.Sprintf("[%s] %s = %q: want %s", p.Section, p.Key, p.Value, p.Allowed)
}

// InvalidError lists all problems of a settings file.
type InvalidError struct {
	Problems []Problem
}

// Error implements the error interface.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("config: %d problem(s)", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// reader reads typed values from a file and collects problems. It records the requested
// keys, so that reportUnknown can report any other key of the file.
type reader struct {
	file     *ini.File
	known    map[string]map[string]bool
	problems []Problem
}

func newReader(file *ini.File) *reader {
	return &reader{file: file, known: map[string]map[string]bool{}}
}

func (r *reader) addProblem(section, key, value, allowed string) {
	r.problems = append(r.problems, Problem{Section: section, Key: key, Value: value, Allowed: allowed})
}

func (r *reader) value(section, key string) (string, bool) {
	if r.known[section] == nil {
		r.known[section] = map[string]bool{}
	}
	r.known[section][key] = true
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.Key(key).String()), true
}

func (r *reader) name(section, key string) string {
	v, _ := r.value(section, key)
	if !namePattern.MatchString(v) {
		r.addProblem(section, key, v, "a name of 1 to 63 letters, digits, dots, dashes and underscores")
	}
	return v
}

func isAddress(v string) bool {
	ap, err := netip.ParseAddrPort(v)
	return err == nil && ap.Addr().IsValid()
}

func (r *reader) address(section, key string) string {
	v, _ := r.value(section, key)
	if !isAddress(v) {
		r.addProblem(section, key, v, "ip:port with an IP number")
	}
	return v
}

func (r *reader) optionalAddress(section, key string) string {
	v, ok := r.value(section, key)
	if ok && v != "" && !isAddress(v) {
		r.addProblem(section, key, v, "ip:port with an IP number, or nothing")
	}
	return v
}

func (r *reader) addresses(section, key string, required bool) []string {
	v, _ := r.value(section, key)
	var out []string
	for _, part := range strings.Split(v, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		if !isAddress(part) {
			r.addProblem(section, key, part, "ip:port with an IP number, several separated by commas")
			continue
		}
		out = append(out, part)
	}
	if required && len(out) == 0 && v == "" {
		r.addProblem(section, key, v, "at least one ip:port")
	}
	return out
}

func (r *reader) integer(section, key string, def, low, high int) int {
	v, ok := r.value(section, key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		r.addProblem(section, key, v, fmt.Sprintf("a whole number from %d to %d", low, high))
		return def
	}
	return n
}

func (r *reader) float(section, key string, def, low, high float64) float64 {
	v, ok := r.value(section, key)
	if !ok {
		return def
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || !(f >= low && f <= high) {
		r.addProblem(section, key, v, fmt.Sprintf("a number from %g to %g", low, high))
		return def
	}
	return f
}

func (r *reader) duration(section, key string, def, low, high time.Duration) time.Duration {
	v, ok := r.value(section, key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > high {
		r.addProblem(section, key, v, fmt.Sprintf("a duration from %s to %s, for example 3s", low, high))
		return def
	}
	return d
}

func (r *reader) oneOf(section, key, def string, allowed ...string) string {
	v, ok := r.value(section, key)
	if !ok {
		return def
	}
	for _, a := range allowed {
		if v == a {
			return v
		}
	}
	r.addProblem(section, key, v, "one of "+strings.Join(allowed, ", "))
	return def
}

func (r *reader) boolean(section, key string, def bool) bool {
	v, ok := r.value(section, key)
	if !ok {
		return def
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		r.addProblem(section, key, v, "true or false")
		return def
	}
	return b
}

// memoryPerPrompt is the memory that a process needs beside a prompt of the largest size, as a multiple of it: prompts are decoded, and large
// ones may take a part of the memory only.
const memoryPerPrompt = 32

// checkCombinations validates settings that depend on each other.
func (r *reader) checkCombinations(c *Config) {
	m := c.Membership
	if m.SuspectAfter <= m.Interval {
		r.addProblem("membership", "suspect_after", m.SuspectAfter.String(), "more than interval")
	}
	if m.DeadAfter <= m.SuspectAfter {
		r.addProblem("membership", "dead_after", m.DeadAfter.String(), "more than suspect_after")
	}
	// An order to an engine starts only if the lease outlasts it. A lease is renewed after
	// each third of its TTL and has a safety margin, so in the worst case two thirds of the
	// TTL less the margin remain. Longer orders are deferred most of the time, and a rollout
	// stalls without an error.
	if longest := c.Journal.LeaseTTL * 2 / 5; c.Fleet.OrderTimeout > longest {
		r.addProblem("fleet", "order_timeout", c.Fleet.OrderTimeout.String(),
			"at most two fifths of [journal] lease_ttl, "+longest.String())
	}
	if most := c.Daemon.MemoryMB << 20 / memoryPerPrompt; c.Admission.MaxPromptBytes > most {
		r.addProblem("admission", "max_prompt_bytes", strconv.Itoa(c.Admission.MaxPromptBytes),
			fmt.Sprintf("at most 1/%d of [daemon] memory_mb, %d", memoryPerPrompt, most))
	}
	if c.Daemon.Listen != "" && c.Daemon.Listen == c.Daemon.Peer && !strings.HasSuffix(c.Daemon.Peer, ":0") {
		r.addProblem("daemon", "peer", c.Daemon.Peer, "an address other than that of listen")
	}
}

// reportUnknown adds a problem for each section or key that is not a setting.
func (r *reader) reportUnknown() {
	for _, s := range r.file.Sections() {
		keys, known := r.known[s.Name()]
		if !known && s.Name() != ini.DefaultSection {
			r.addProblem(s.Name(), "", "", "a known section")
			continue
		}
		for _, k := range s.Keys() {
			if !keys[k.Name()] {
				r.addProblem(s.Name(), k.Name(), k.String(), "a known key")
			}
		}
	}
}

// Package config reads and validates a daemon's settings from an INI file. It reports every
// problem with its section, key, value and the allowed values. A daemon does not start
// while its settings have a problem.
package config

import (
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Config holds all settings of a daemon.
type Config struct {
	Daemon     Daemon
	Platform   Platform
	Membership Membership
	Table      Table
	Admission  Admission
	Placement  Placement
	Journal    Journal
	Streams    Streams
	Drain      Drain
	Fleet      Fleet
	Log        Log
}

// Daemon identifies this daemon and sets its addresses.
type Daemon struct {
	ID            string
	Region        string
	FailureDomain string
	Listen        string // address for callers, ip:port
	Peer          string // address for peers, debug endpoints and metrics, ip:port
	MaxInFlight   int    // maximum number of requests in flight
	// MaxConnections is the maximum number of connections of callers that are kept. Peers may keep a quarter as many beside.
	MaxConnections int
	// MemoryMB is the memory that the process may use, in MiB.
	MemoryMB int
}

// Platform sets the addresses of the platform's services and the rate limits for their use.
type Platform struct {
	KV              []string // ip:port each, tried in turn
	VMList          string   // ip:port
	Timeout         time.Duration
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Membership sets the heartbeats between daemons and their failure detection.
type Membership struct {
	Seeds        []string // peer addresses, ip:port
	Interval     time.Duration
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	Fanout       int
}

// Table sets how a daemon follows the operators' table.
type Table struct {
	Watchers   int           // number of daemons that watch the key-value service
	StaleAfter time.Duration // a partitioned daemon whose table was not confirmed as current for this long refuses new requests
	// OutageLimit replaces StaleAfter while most daemons are live, which shows that the
	// key-value service is down.
	OutageLimit time.Duration
}

// Admission bounds the queues, deadlines and sizes of requests.
type Admission struct {
	QueuePerTarget  int
	DefaultDeadline time.Duration // for requests without a deadline
	MaxPromptBytes  int
}

// Placement selects how to weigh time to first token against recomputation and link use.
type Placement struct {
	Profile string // atlas or fonografos
}

// Journal sets the journal, which makes calls run at most once.
type Journal struct {
	Partitions int
	Keep       time.Duration // retention period of a key and its result
	LeaseTTL   time.Duration
	Holders    int // number of daemons that may hold partitions; other daemons send the key-value service no requests for them
}

// Streams sets the timeouts of connections to targets.
type Streams struct {
	DialTimeout   time.Duration
	HeaderTimeout time.Duration // targets send response headers at once, even for a queued request
	SilentAfter   time.Duration // idle timeout: longest time between two frames of a stream
	MaxResumes    int
}

// Drain sets the times of a planned stop.
type Drain struct {
	RouteKeep time.Duration // how long callers cache a route
	Limit     time.Duration // maximum time that a planned stop waits for requests in flight
}

// Fleet sets the control of targets.
type Fleet struct {
	OrderTimeout time.Duration
	PollInterval time.Duration
}

// Log sets the level and format of the log.
type Log struct {
	Level string
	JSON  bool
}

// Load reads and validates the file at path. Its error lists every problem.
func Load(path string) (*Config, error) {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, path)
	if err != nil {
		return nil, errors.Wrapf(err, "config: read %s", path)
	}
	return parse(file)
}

// Parse reads and validates settings from data. Its error lists every problem.
func Parse(data []byte) (*Config, error) {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, data)
	if err != nil {
		return nil, errors.Wrap(err, "config: parse")
	}
	return parse(file)
}

func parse(file *ini.File) (*Config, error) {
	r := newReader(file)
	c := readAll(r)
	r.checkCombinations(c)
	r.reportUnknown()
	if len(r.problems) > 0 {
		return nil, &InvalidError{Problems: r.problems}
	}
	return c, nil
}

func readAll(r *reader) *Config {
	return &Config{
		Daemon:     readDaemon(r),
		Platform:   readPlatform(r),
		Membership: readMembership(r),
		Table:      readTable(r),
		Admission:  readAdmission(r),
		Placement:  Placement{Profile: r.oneOf("placement", "profile", "atlas", "atlas", "fonografos")},
		Journal:    readJournal(r),
		Streams:    readStreams(r),
		Drain:      readDrain(r),
		Fleet:      readFleet(r),
		Log:        readLog(r),
	}
}

func readDaemon(r *reader) Daemon {
	const s = "daemon"
	return Daemon{
		ID:            r.name(s, "id"),
		Region:        r.name(s, "region"),
		FailureDomain: r.name(s, "failure_domain"),
		Listen:        r.address(s, "listen"),
		Peer:          r.address(s, "peer"),
		MaxInFlight:   r.integer(s, "max_in_flight", 1024, 1, 65536),

		MaxConnections: r.integer(s, "max_connections", 2048, 16, 65536),
		MemoryMB:       r.integer(s, "memory_mb", 128, 64, 65536),
	}
}

func readPlatform(r *reader) Platform {
	const s = "platform"
	return Platform{
		KV:              r.addresses(s, "kv", true),
		VMList:          r.optionalAddress(s, "vm_list"),
		Timeout:         r.duration(s, "timeout", time.Second, 10*time.Millisecond, time.Minute),
		ReadsPerSecond:  r.float(s, "reads_per_second", 50, 1, 2000),
		WritesPerSecond: r.float(s, "writes_per_second", 40, 1, 500),
	}
}

func readMembership(r *reader) Membership {
	const s = "membership"
	return Membership{
		Seeds:        r.addresses(s, "seeds", false),
		Interval:     r.duration(s, "interval", time.Second, 10*time.Millisecond, time.Minute),
		SuspectAfter: r.duration(s, "suspect_after", 3*time.Second, 50*time.Millisecond, 10*time.Minute),
		DeadAfter:    r.duration(s, "dead_after", 8*time.Second, 100*time.Millisecond, time.Hour),
		Fanout:       r.integer(s, "fanout", 2, 1, 16),
	}
}

// minStaleAfter must stay well above the staleness that the table reaches in a healthy
// fleet (5.6 s in a simulation of 390 daemons).
const minStaleAfter = 10 * time.Second

func readTable(r *reader) Table {
	const s = "table"
	return Table{
		Watchers:   r.integer(s, "watchers", 2, 1, 16),
		StaleAfter: r.duration(s, "stale_after", 5*time.Minute, minStaleAfter, 24*time.Hour),

		OutageLimit: r.duration(s, "outage_limit", 6*time.Hour, minStaleAfter, 7*24*time.Hour),
	}
}

func readAdmission(r *reader) Admission {
	const s = "admission"
	return Admission{
		QueuePerTarget:  r.integer(s, "queue_per_target", 64, 1, 10000),
		DefaultDeadline: r.duration(s, "default_deadline", 30*time.Second, 100*time.Millisecond, time.Hour),
		MaxPromptBytes:  r.integer(s, "max_prompt_bytes", 4<<20, 1024, 64<<20),
	}
}

func readJournal(r *reader) Journal {
	const s = "journal"
	return Journal{
		Partitions: r.integer(s, "partitions", 16, 1, 256),
		Keep:       r.duration(s, "keep", 24*time.Hour, time.Minute, 30*24*time.Hour),
		LeaseTTL:   r.duration(s, "lease_ttl", 9*time.Second, 300*time.Millisecond, 10*time.Minute),
		Holders:    r.integer(s, "holders", 8, 1, 256),
	}
}

func readStreams(r *reader) Streams {
	const s = "streams"
	return Streams{
		DialTimeout:   r.duration(s, "dial_timeout", time.Second, 10*time.Millisecond, time.Minute),
		HeaderTimeout: r.duration(s, "header_timeout", 3*time.Second, 10*time.Millisecond, 10*time.Minute),
		SilentAfter:   r.duration(s, "silent_after", 3*time.Second, 10*time.Millisecond, 10*time.Minute),
		MaxResumes:    r.integer(s, "max_resumes", 3, 0, 20),
	}
}

func readDrain(r *reader) Drain {
	const s = "drain"
	return Drain{
		RouteKeep: r.duration(s, "route_keep", 5*time.Second, 50*time.Millisecond, 10*time.Minute),
		Limit:     r.duration(s, "limit", 2*time.Minute, time.Second, time.Hour),
	}
}

func readFleet(r *reader) Fleet {
	const s = "fleet"
	return Fleet{
		OrderTimeout: r.duration(s, "order_timeout", 2*time.Second, 10*time.Millisecond, time.Minute),
		PollInterval: r.duration(s, "poll_interval", 500*time.Millisecond, 10*time.Millisecond, time.Minute),
	}
}

func readLog(r *reader) Log {
	const s = "log"
	return Log{
		Level: r.oneOf(s, "level", "info", "trace", "debug", "info", "warn", "error"),
		JSON:  r.boolean(s, "json", false),
	}
}

package roster

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/bounds"
	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

func daemonEntry(id, domain, callers, peers string) string {
	return fmt.Sprintf(`{"id":%q,"incarnation":1,"failure_domain":%q,"caller_address":%q,"peer_address":%q}`, id, domain, callers, peers)
}

// TestValuesThatCannotBeListNoDaemon guards against callers and peers that are led to an entry of another writer.
func TestValuesThatCannotBeListNoDaemon(t *testing.T) {
	const sound = "10.0.0.1:80"
	long := strings.Repeat("b", 5000)
	for field, e := range map[string][2]string{
		"id: has":              {long, daemonEntry(long, "a", sound, sound)},
		"id: has 0 bytes":      {"", daemonEntry("", "a", sound, sound)},
		"id: has the byte":     {"b/c", daemonEntry("b/c", "a", sound, sound)},
		"must be that":         {"b", daemonEntry(long, "a", sound, sound)},
		"failure_domain":       {"b", daemonEntry("b", long, sound, sound)},
		"caller_address: port": {"b", daemonEntry("b", "a", "10.0.0.1:0", sound)},
		"caller_address: want": {"b", daemonEntry("b", "a", "0.0.0.0:80", sound)},
		"peer_address: want":   {"b", daemonEntry("b", "a", sound, "[fe80::1%eth0]:80")},
		"peer_address":         {"b", daemonEntry("b", "a", sound, "10.0.0.1:65536")},
		"incarnation":          {"b", strings.Replace(daemonEntry("b", "a", sound, sound), `"incarnation":1`, `"incarnation":-1`, 1)},
		"incarnation: is":      {"b", strings.Replace(daemonEntry("b", "a", sound, sound), `"incarnation":1`, `"incarnation":`+strings.Repeat("9", 1<<20), 1)},
		"exceeded max depth":   {"b", strings.Replace(daemonEntry("b", "a", sound, sound), `"incarnation":1`, `"x":`+strings.Repeat("[", 20_000), 1)},
	} {
		var log bytes.Buffer
		store, metrics := kv.NewFake(time.Now).Client("a"), tally.NewTestScope("", nil)
		r := New(Options{
			KV: store, Follower: mirror.New(mirror.Options{KV: store}), Prefix: "d/", Self: Daemon{ID: "a"}, Metrics: metrics,
			Logger: hclog.New(&hclog.LoggerOptions{Output: &log}),
		})
		r.apply(mirror.Update{Full: true, Entries: []platform.Entry{entry("c"), {Key: "d/" + e[0], Value: []byte(e[1]), Revision: 2}}})
		if got := ids(r); got != "ac" {
			t.Errorf("%s: live: %.60s", field, got)
		}
		if text := log.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, field) || len(text) > 1000 {
			t.Errorf("%s: logged %.400q", field, text)
		}
		if n := metrics.Snapshot().Counters()["invalid_roster_entries+"]; n == nil || n.Value() != 1 {
			t.Errorf("%s: not counted", field)
		}
	}
}

// FuzzDaemonEntry guards against bytes in an entry that end the daemon or pass its bounds.
func FuzzDaemonEntry(f *testing.F) {
	f.Add([]byte(daemonEntry("b", "a", "10.0.0.1:80", "10.0.0.1:81")))
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := decode("b", raw)
		if err == nil && (d.ID != "b" || d.Incarnation < 0 || bounds.CheckAddress(d.CallerAddress) != nil || bounds.CheckAddress(d.PeerAddress) != nil) {
			t.Errorf("%s is decoded as %+v", raw, d)
		}
	})
}

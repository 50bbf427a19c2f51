package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/table"
)

// proofLimit is the age of a proof above which these daemons would take no new requests.
const proofLimit = 500 * time.Millisecond

func (d *daemon) fresh() bool { return d.replica.Confirmed(time.Now()) < proofLimit }

func (d *daemon) loadCap() int {
	m, ok := d.replica.Current().Model("verdict")
	if !ok {
		return 0
	}
	return m.LoadCap
}

// setLoadCap writes the model's row as an operator does.
func (e *environment) setLoadCap(t *testing.T, loadCap int) {
	t.Helper()
	editor := table.NewEditor(table.EditorOptions{KV: e.service.Client("operator"), Who: "ana"})
	data := fmt.Sprintf("id,default_version,bytes_per_token,load_cap\nverdict,v3,131072,%d\n", loadCap)
	plan, err := editor.Plan(t.Context(), []table.File{{Name: "models.csv", Data: []byte(data)}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := editor.Apply(t.Context(), plan); err != nil {
		t.Fatal(err)
	}
}

// startFleet starts daemons that have the model's row in force, with a fresh proof.
func (e *environment) startFleet(t *testing.T, size int) []*daemon {
	t.Helper()
	e.setLoadCap(t, 1)
	fleet := []*daemon{e.start(t, "daemon-0")}
	for i := 1; i < size; i++ {
		fleet = append(fleet, e.start(t, fmt.Sprintf("daemon-%d", i), fleet[0].Self().PeerAddress))
	}
	for _, d := range fleet {
		eventually(t, "the fleet whole", func() bool { return len(d.Live()) == size && d.loadCap() == 1 && d.fresh() })
	}
	return fleet
}

// One daemon loses its connections: to the service, to its peers, or to both. Cut from
// one side it learns an edit from the other and stays current. Cut from both it can't
// know that there was an edit; a daemon that took requests on would use the old row for
// ever. Its proof must grow old, and be fresh again soon after the cut ends.
func TestPartitionOfOneDaemon(t *testing.T) {
	const size = 4
	for _, cut := range []struct{ service, peers bool }{{true, false}, {false, true}, {true, true}} {
		t.Run(fmt.Sprintf("service %v peers %v", cut.service, cut.peers), func(t *testing.T) {
			e := newEnvironment()
			fleet := e.startFleet(t, size)
			lone := fleet[size-1]
			e.service.Partition(lone.Self().Id, cut.service)
			e.network.setCut(lone.Self().PeerAddress, cut.peers)
			if cut.service && cut.peers {
				eventually(t, "an old proof", func() bool { return !lone.fresh() })
			}
			e.setLoadCap(t, 2)
			for _, d := range fleet[:size-1] {
				eventually(t, "the edit in force on the others", func() bool { return d.loadCap() == 2 })
			}
			if cut.service && cut.peers {
				if lone.fresh() || lone.loadCap() != 1 {
					t.Fatal("the cut daemon counts itself current")
				}
				e.service.Partition(lone.Self().Id, false)
				e.network.setCut(lone.Self().PeerAddress, false)
			}
			eventually(t, "the edit in force on the lone daemon", func() bool { return lone.loadCap() == 2 && lone.fresh() })
		})
	}
}

// The service is down and one daemon restarts, with nothing. It must have the row in
// force from its peers, although it never reached the service, and its proof must be as
// old as theirs: nobody knows of edits since.
func TestRestartWhileTheServiceIsDown(t *testing.T) {
	const size = 3
	e := newEnvironment()
	fleet := e.startFleet(t, size)
	e.service.SetDown(true)
	for _, d := range fleet {
		eventually(t, "old proofs", func() bool { return !d.fresh() })
	}
	fleet[1].stop()
	again := e.start(t, fleet[1].Self().Id, fleet[0].Self().PeerAddress)
	eventually(t, "the row in force", func() bool { return again.loadCap() == 1 })
	eventually(t, "a proof from a peer", func() bool { return again.replica.Confirmed(time.Now()) != table.NeverConfirmed })
	if again.fresh() {
		t.Fatal("a restart made an old proof fresh")
	}
	e.service.SetDown(false)
	e.setLoadCap(t, 3)
	for _, d := range []*daemon{fleet[0], again, fleet[2]} {
		eventually(t, "the next edit in force", func() bool { return d.loadCap() == 3 && d.fresh() })
	}
}

// All daemons of a fleet restart, one after the other. If each reads the whole table for
// itself, the service answers some megabytes to each; they must have it from their peers,
// but for the few that watch.
func TestRestartAsksPeersNotTheService(t *testing.T) {
	const size = 5
	e := newEnvironment()
	fleet := e.startFleet(t, size)
	e.timing.FirstRead = time.Hour // would read for itself on a busy machine
	e.timing.ProofAge = time.Hour
	e.solo = time.Hour
	for i, d := range fleet {
		watching := d.Among("table", 2)
		d.stop()
		for _, other := range fleet {
			if other != d {
				eventually(t, "the daemon gone", func() bool { return other.stateOf(d.Self().Id) == dead })
			}
		}
		before := e.service.Counts().ByClient[d.Self().Id]
		seed := fleet[(i+1)%size].Self().PeerAddress
		fleet[i] = e.start(t, d.Self().Id, seed)
		eventually(t, "the row in force", func() bool { return fleet[i].loadCap() == 1 && fleet[i].fresh() })
		calls := e.service.Counts().ByClient[d.Self().Id] - before
		if !watching && calls > 0 {
			t.Fatalf("%s watches nothing and called the service %d times", d.Self().Id, calls)
		}
	}
}

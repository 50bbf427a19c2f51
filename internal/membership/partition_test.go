package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/table"
)

// stalenessLimit is the staleness above which these daemons would reject new requests.
const stalenessLimit = 500 * time.Millisecond

func (d *daemon) fresh() bool { return d.replica.Staleness(time.Now()) < stalenessLimit }

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
	editor := table.NewEditor(table.EditorOptions{KV: e.keyValue.Client("operator"), Operator: "ana"})
	data := fmt.Sprintf("id,default_version,bytes_per_token,load_cap\nverdict,v3,131072,%d\n", loadCap)
	plan, err := editor.Plan(t.Context(), []table.File{{Name: "models.csv", Data: []byte(data)}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := editor.Apply(t.Context(), plan); err != nil {
		t.Fatal(err)
	}
}

// startFleet starts daemons and waits until each has applied the model's row and has a
// fresh confirmation.
func (e *environment) startFleet(t *testing.T, size int) []*daemon {
	t.Helper()
	e.setLoadCap(t, 1)
	fleet := []*daemon{e.start(t, "daemon-0")}
	for i := 1; i < size; i++ {
		fleet = append(fleet, e.start(t, fmt.Sprintf("daemon-%d", i), fleet[0].Self().PeerAddress))
	}
	for _, d := range fleet {
		eventually(t, "all daemons live with the row and a fresh confirmation", func() bool { return len(d.Live()) == size && d.loadCap() == 1 && d.fresh() })
	}
	return fleet
}

// TestPartitionOfOneDaemon separates one daemon from the key-value service, from its peers,
// or from both. With one side reachable, the daemon learns of an edit there and stays
// current. With neither, it cannot detect the edit, and a daemon that accepted further
// requests would use the old row indefinitely. Its confirmation must expire, and must be
// fresh again soon after the partition heals.
func TestPartitionOfOneDaemon(t *testing.T) {
	const size = 4
	for _, partition := range []struct{ service, peers bool }{{true, false}, {false, true}, {true, true}} {
		t.Run(fmt.Sprintf("service %v peers %v", partition.service, partition.peers), func(t *testing.T) {
			e := newEnvironment()
			fleet := e.startFleet(t, size)
			isolated := fleet[size-1]
			e.keyValue.Partition(isolated.Self().Id, partition.service)
			e.network.setPartitioned(isolated.Self().PeerAddress, partition.peers)
			if partition.service && partition.peers {
				eventually(t, "an expired confirmation on the partitioned daemon", func() bool { return !isolated.fresh() })
			}
			e.setLoadCap(t, 2)
			for _, d := range fleet[:size-1] {
				eventually(t, "the edit applied on the other daemons", func() bool { return d.loadCap() == 2 })
			}
			if partition.service && partition.peers {
				if isolated.fresh() || isolated.loadCap() != 1 {
					t.Fatal("the partitioned daemon considers its table current")
				}
				e.keyValue.Partition(isolated.Self().Id, false)
				e.network.setPartitioned(isolated.Self().PeerAddress, false)
			}
			eventually(t, "the edit applied on the partitioned daemon", func() bool { return isolated.loadCap() == 2 && isolated.fresh() })
		})
	}
}

// TestRestartDuringKeyValueOutage restarts a daemon without state while the key-value
// service is down. The daemon must apply the row from its peers without having reached the
// service. Its confirmation must be as old as theirs, because no daemon can know of later
// edits.
func TestRestartDuringKeyValueOutage(t *testing.T) {
	const size = 3
	e := newEnvironment()
	fleet := e.startFleet(t, size)
	e.keyValue.SetDown(true)
	for _, d := range fleet {
		eventually(t, "expired confirmations", func() bool { return !d.fresh() })
	}
	fleet[1].stop()
	restarted := e.start(t, fleet[1].Self().Id, fleet[0].Self().PeerAddress)
	eventually(t, "the row applied", func() bool { return restarted.loadCap() == 1 })
	eventually(t, "a confirmation from a peer", func() bool { return restarted.replica.Staleness(time.Now()) != table.NeverConfirmed })
	if restarted.fresh() {
		t.Fatal("the restart renewed an expired confirmation")
	}
	e.keyValue.SetDown(false)
	e.setLoadCap(t, 3)
	for _, d := range []*daemon{fleet[0], restarted, fleet[2]} {
		eventually(t, "the next edit applied", func() bool { return d.loadCap() == 3 && d.fresh() })
	}
}

// TestRestartReadsTableFromPeers restarts all daemons of a fleet, one after the other. If
// each read the complete table from the key-value service, the service would send some
// megabytes to each. All but the few watching daemons must get the table from their peers.
func TestRestartReadsTableFromPeers(t *testing.T) {
	const size = 5
	e := newEnvironment()
	fleet := e.startFleet(t, size)
	e.timing.FirstReadDelay = time.Hour // a daemon on a busy machine would read from the service
	e.timing.MaxStaleness = time.Hour
	e.firstContactTimeout = time.Hour
	for i, d := range fleet {
		watching := d.RanksInRegion("table", 2)
		d.stop()
		for _, other := range fleet {
			if other != d {
				eventually(t, "the stopped daemon dead", func() bool { return other.stateOf(d.Self().Id) == dead })
			}
		}
		before := e.keyValue.Counts().ByClient[d.Self().Id]
		seed := fleet[(i+1)%size].Self().PeerAddress
		fleet[i] = e.start(t, d.Self().Id, seed)
		eventually(t, "the row applied", func() bool { return fleet[i].loadCap() == 1 && fleet[i].fresh() })
		calls := e.keyValue.Counts().ByClient[d.Self().Id] - before
		if !watching && calls > 0 {
			t.Fatalf("%s does not watch the table but called the service %d times", d.Self().Id, calls)
		}
	}
}

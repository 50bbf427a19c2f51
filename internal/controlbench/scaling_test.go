package controlbench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/coordinator"
	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/limit"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
	"github.com/bluebellscale/bluebellscale/internal/table"
	"github.com/bluebellscale/bluebellscale/internal/tabletest"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

const benchTargets = 1300

// largeTable returns the sheets of a deployment of the planned size, with benchTargets
// engines and the given number of organisations.
func largeTable(organisations int) tabletest.Rows {
	var orgs, targets strings.Builder
	for i := range organisations {
		orgs.WriteString(organisationRow(fmt.Sprintf("org-%05d", i), fmt.Sprint("key-", i), ""))
	}
	for i := range benchTargets {
		targets.WriteString(engineRow(fmt.Sprintf("engine-%04d", i), fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250+1), 8))
	}
	return tabletest.Rows{Organisations: orgs.String(), Models: benchModel + ",v1,1024,3\n", Targets: targets.String()}
}

// BenchmarkTablePage measures the merge of one changed page into a daemon's table, and the
// heap size of the complete table.
func BenchmarkTablePage(b *testing.B) {
	for _, organisations := range []int{350, 3_500, 35_000} {
		b.Run(strconv.Itoa(organisations), func(b *testing.B) { benchmarkTablePage(b, organisations) })
	}
}

func benchmarkTablePage(b *testing.B, organisations int) {
	client := kv.NewFake(time.Now).Client("bench")
	tabletest.Write(b, client, largeTable(organisations))
	entries, _, err := client.List(context.Background(), table.KeyPrefix)
	if err != nil {
		b.Fatal(err)
	}
	var pages []*peer.Page
	var bytes int
	for _, e := range entries {
		pages = append(pages, &peer.Page{Name: strings.TrimPrefix(e.Key, table.KeyPrefix), Revision: uint64(e.Revision), Value: e.Value})
		bytes += len(e.Value)
	}
	before := heapBytes()
	replica := table.NewReplica(table.ReplicaOptions{})
	replica.Merge(pages)
	replicaBytes := heapBytes() - before
	name := table.PageName(table.SheetOrganisations, "org-00000")
	var changed *peer.Page
	for _, p := range pages {
		if p.Name == name {
			changed = p
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		changed = &peer.Page{Name: name, Revision: changed.Revision + 1, Value: changed.Value}
		if replica.Merge([]*peer.Page{changed}) != 1 {
			b.Fatal("page was not merged")
		}
	}
	b.ReportMetric(float64(replicaBytes)/1e6, "heap-MB")
	b.ReportMetric(float64(bytes)/1e6, "pages-MB")
	b.ReportMetric(float64(len(changed.Value)), "page-B")
	runtime.KeepAlive(pages)
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkSlice measures the grant of one slice of an organisation's limits by the limit
// coordinator.
func BenchmarkSlice(b *testing.B) {
	for _, organisations := range []int{100, 35_000} {
		b.Run(strconv.Itoa(organisations), func(b *testing.B) {
			limits := limit.Limits{RequestsPerSecond: 1000, Burst: 1000, Concurrency: 100, TokensPerSecond: 1e7}
			now := time.Unix(1_700_000_000, 0)
			s := limit.NewCoordinator(now, limit.Params{})
			ids := make([]request.OrgID, organisations)
			for i := range ids {
				ids[i] = request.OrgID(fmt.Sprintf("org-%05d", i))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(100 * time.Microsecond)
				s.Slice(now, "d1", ids[i%organisations], limits, limit.SliceRequest{Org: ids[i%organisations], Requests: 1, Concurrency: 1, Tokens: 1000})
			}
		})
	}
}

// BenchmarkHomeTick measures the memory and the tick of a home daemon's limits after
// requests of many organisations.
func BenchmarkHomeTick(b *testing.B) {
	for _, organisations := range []int{100, 3_500, 35_000} {
		b.Run(strconv.Itoa(organisations), func(b *testing.B) {
			limits := limit.Limits{RequestsPerSecond: 1000, Burst: 1000, Concurrency: 100, TokensPerSecond: 1e7}
			now := time.Unix(1_700_000_000, 0)
			before := heapBytes()
			home := limit.NewLocalLimiter(limit.Params{}, 390)
			for i := range organisations {
				home.Admit(now, request.OrgID(fmt.Sprintf("org-%05d", i)), limits, 1000)
			}
			homeBytes := heapBytes() - before
			for b.Loop() {
				home.Tick(now)
			}
			b.ReportMetric(float64(homeBytes)/float64(organisations), "B/org")
			runtime.KeepAlive(home)
		})
	}
}

// singleMember is a membership of one daemon, which owns all assignments. Its targets are
// unreachable.
type singleMember struct{ self *peer.Member }

func (m singleMember) Self() *peer.Member                { return m.self }
func (m singleMember) Live() []*peer.Member              { return nil }
func (m singleMember) Owner(string) *peer.Member         { return m.self }
func (m singleMember) Steward(*peer.Member) peer.Steward { return nil }
func (m singleMember) Reset()                            {}
func (m singleMember) Client(t table.Target) *target.Client {
	return target.New(target.Options{ID: t.ID, Address: t.Address})
}

func newCoordinator(b *testing.B) *coordinator.Service {
	b.Helper()
	replica := tabletest.Load(b, kv.NewFake(time.Now).Client("d1"), largeTable(10))
	m := singleMember{self: &peer.Member{Id: "d1"}}
	s := coordinator.New(coordinator.Options{
		Tables: replica, Members: m, Targets: m, Peers: m, Instance: "d1.1",
		PollInterval: time.Hour, QueueLimit: 64, Logger: hclog.NewNullLogger(),
	})
	b.Cleanup(s.Shutdown)
	return s
}

// BenchmarkGrant measures acquiring and releasing a grant for a target with free capacity.
func BenchmarkGrant(b *testing.B) {
	s := newCoordinator(b)
	ctx := context.Background()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		grant, refusal := s.Acquire(ctx, gateway.AcquireRequest{
			Request: request.ID(strconv.Itoa(i)), Target: "engine-0001", Org: "org-00001", Tokens: 10, Deadline: time.Now().Add(time.Minute),
		})
		if refusal != nil {
			b.Fatal(refusal)
		}
		s.Release(grant, gateway.Release{})
	}
}

// BenchmarkTargetView measures reading the view of one target from its coordinator.
func BenchmarkTargetView(b *testing.B) {
	s := newCoordinator(b)
	ctx := context.Background()
	ids := []request.TargetID{"engine-0001"}
	b.ReportAllocs()
	for b.Loop() {
		if len(s.Views(ctx, ids, coordinator.Prompt{Org: "org-00001", Tokens: 1000})) != 1 {
			b.Fatal("no view")
		}
	}
}

// BenchmarkVMList measures one read of the platform's VM list. Each daemon reads the list
// every two seconds.
func BenchmarkVMList(b *testing.B) {
	for _, vms := range []int{30, 300, 2_000} {
		b.Run(strconv.Itoa(vms), func(b *testing.B) {
			var list []platform.VM
			for i := range vms {
				list = append(list, platform.VM{
					ID: fmt.Sprintf("vm-%05d", i), Address: fmt.Sprintf("10.0.%d.%d", i/250, i%250+1),
					FailureDomain: "fes-conche", Region: "fes", Role: "target",
				})
			}
			data, err := json.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(data) }))
			defer server.Close()
			client := platform.NewVMListClient(server.Listener.Addr().String())
			b.ReportAllocs()
			for b.Loop() {
				if got, err := client.VMs(context.Background()); err != nil || len(got) != vms {
					b.Fatal(len(got), err)
				}
			}
			b.ReportMetric(float64(len(data)), "list-B")
		})
	}
}

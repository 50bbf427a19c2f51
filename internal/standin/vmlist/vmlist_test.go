package vmlist_test

import (
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/standin/vmlist"
)

func TestListIsDelayedByLag(t *testing.T) {
	l := vmlist.New(vmlist.Options{Lag: time.Hour})
	l.Set([]platform.VM{{ID: "a"}})
	l.Set([]platform.VM{{ID: "a", Leaving: true}})
	if got := l.VMs(); len(got) != 1 || got[0].Leaving {
		t.Fatalf("before the lag: %+v", got)
	}
	l.SetLag(0)
	if got := l.VMs(); len(got) != 1 || !got[0].Leaving {
		t.Fatalf("after the lag: %+v", got)
	}
}

func TestLoadsAreCounted(t *testing.T) {
	l := vmlist.New(vmlist.Options{LoadCap: 2})
	for _, replica := range []string{"a", "b", "c", "c"} {
		l.Report(vmlist.LoadReport{Replica: replica, Loading: true})
	}
	if got := l.Report(vmlist.LoadReport{Replica: "a"}); got.Loading != 2 || got.Peak != 3 || got.Cap != 2 {
		t.Fatalf("%+v", got)
	}
}

package isolation

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	scheduledDaemons = 4
	scheduledSteps   = 400
	scheduledSeeds   = 200
)

// TestScheduleOfIsolationChanges guards against any order of changes, late daemons, restarts, lost writes and restores of the
// key-value service in which an organisation uses cache of another one while either is isolated, and against organisations that
// do not share again after all that. SCHEDULE_SEEDS sets the number of seeds.
func TestScheduleOfIsolationChanges(t *testing.T) {
	seeds := scheduledSeeds
	if v := os.Getenv("SCHEDULE_SEEDS"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			t.Fatalf("SCHEDULE_SEEDS: %v", err)
		}
		seeds = n
	}
	for seed := range seeds {
		newSchedule(t, uint64(seed)).run()
	}
}

// scheduledDaemon is a daemon and what it applied.
type scheduledDaemon struct {
	*Tracker
	isolated []request.OrgID
	rank     int
}

type schedule struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	now     time.Time
	service *service
	backup  service
	daemons []*scheduledDaemon
	users   map[string]map[request.OrgID]bool // by salt
	log     []string
}

func newSchedule(t *testing.T, seed uint64) *schedule {
	s := &schedule{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), now: time.Now(), service: newService(), users: map[string]map[request.OrgID]bool{}}
	s.backup = s.service.backup()
	for n := range scheduledDaemons {
		s.daemons = append(s.daemons, &scheduledDaemon{Tracker: start(s.now, s.service), rank: n})
	}
	return s
}

func (s *schedule) record(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf(format, args...))
}

func (s *schedule) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d: %s\n%v", s.seed, fmt.Sprintf(format, args...), s.log[max(0, len(s.log)-40):])
}

func (s *schedule) run() {
	for range scheduledSteps {
		s.step()
	}
	s.settle()
}

func (s *schedule) step() {
	d := s.daemons[s.random.IntN(len(s.daemons))]
	switch s.random.IntN(16) {
	case 0:
		s.service.isolated = nil
		for _, org := range organisations {
			if s.random.IntN(3) == 0 {
				s.service.isolated = append(s.service.isolated, org)
			}
		}
		s.record("operators isolate %v", s.service.isolated)
	case 1, 2, 3:
		s.deliver(d)
	case 4, 5:
		s.record("daemon %d receives the records", d.rank)
		d.onRecords(s.now, s.service.list())
	case 6, 7:
		s.write(d)
	case 8:
		s.now = s.now.Add([]time.Duration{time.Second, time.Minute, ReturnAfter / 2, 2 * ReturnAfter}[s.random.IntN(4)])
		for _, d := range s.daemons {
			d.onTime(s.now)
		}
		s.record("it is %s", s.now.Format(time.TimeOnly))
	case 9:
		s.restart()
	case 10:
		s.restore()
	default:
		s.request(d, organisations[s.random.IntN(len(organisations))])
	}
}

func (s *schedule) deliver(d *scheduledDaemon) {
	d.isolated = slices.Clone(s.service.isolated)
	d.OnDesired(s.now, 1, desired(d.isolated...))
	s.record("daemon %d applies %v", d.rank, d.isolated)
}

func (s *schedule) write(d *scheduledDaemon) {
	if n := s.service.write(s.t, s.now, d.Tracker, d.rank); n > 0 {
		s.record("daemon %d writes %d records", d.rank, n)
	}
}

// restart restarts one daemon, or all. A daemon that has just started may not know the records yet.
func (s *schedule) restart() {
	from, to := 0, len(s.daemons)
	if s.random.IntN(2) == 0 {
		from = s.random.IntN(len(s.daemons))
		to = from + 1
	}
	for _, d := range s.daemons[from:to] {
		d.Tracker = New(Options{})
		s.deliver(d)
		if s.random.IntN(3) > 0 {
			d.onRecords(s.now, s.service.list())
		}
		s.record("daemon %d restarted", d.rank)
	}
}

// restore takes a backup of the service, or restores it from the last one. Revisions of a new era are above all earlier ones.
func (s *schedule) restore() {
	if s.random.IntN(2) == 0 {
		s.backup = s.service.backup()
		s.record("backup")
		return
	}
	revision := s.service.revision
	restored := s.backup.backup()
	s.service = &restored
	s.service.revision = revision + 1
	s.record("restore: isolated %v, %d records", s.service.isolated, len(s.service.records))
}

// request has an organisation use the salt that a daemon gives it.
func (s *schedule) request(d *scheduledDaemon, org request.OrgID) {
	s.t.Helper()
	orgs := desired(d.isolated...)
	used := d.Salt(1, orgs[slices.Index(organisations, org)])
	for maker := range s.users[used] {
		if maker != org && (slices.Contains(d.isolated, org) || slices.Contains(d.isolated, maker)) {
			s.fail("daemon %d, which knows that %v are isolated: %s uses %q, as %s did", d.rank, d.isolated, org, used, maker)
		}
	}
	if s.users[used] == nil {
		s.users[used] = map[request.OrgID]bool{}
	}
	s.users[used][org] = true
	s.record("daemon %d: %s uses %s", d.rank, org, used)
}

// settle ends all isolation, and checks that all organisations share at all daemons after some time without trouble.
func (s *schedule) settle() {
	s.service.isolated = nil
	for range 40 {
		s.now = s.now.Add(ReturnAfter / 4)
		for _, d := range s.daemons {
			s.deliver(d)
			d.onRecords(s.now, s.service.list())
			s.write(d)
		}
	}
	want := salt(s.daemons[0].Tracker, organisations[0])
	for _, d := range s.daemons {
		d.onRecords(s.now, s.service.list())
		for _, org := range organisations {
			s.request(d, org)
			if got := salt(d.Tracker, org); got != want {
				s.fail("at the end daemon %d uses %q for %s, want %q", d.rank, got, org, want)
			}
		}
	}
}

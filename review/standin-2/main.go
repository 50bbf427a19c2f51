// Program standin2 plays one case of the review: it stands in for the platform's store, the replicas and the consumers, starts the project's
// daemons as processes, and says whether a rule was broken.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// world is all that a case stands on.
type world struct {
	root, dir string
	trouble   bool
	rec       *record
	store     *store
	address   string // of the store
	daemons   []*daemon
	replicas  []*replica
	callers   *callers
}

var (
	cleanupMu sync.Mutex
	cleanup   func()
)

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	exit(notRun)
}

func exit(code int) {
	cleanupMu.Lock()
	if cleanup != nil {
		cleanup()
	}
	os.Exit(code)
}

var cases = map[string]func(*world) int{}

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "the repository")
	out := flag.String("record", "record.txt", "the record to write")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fatal("no case %q", *name)
	}
	if _, err := os.Stat(filepath.Join(*root, "target/bluebellscaled")); err != nil {
		fatal("%v", err)
	}
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		fatal("%v", err)
	}
	w := &world{root: *root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: newRecord(*out), store: newStore()}
	w.callers = &callers{rec: w.rec}
	cleanup = func() {
		for _, d := range w.daemons {
			d.stop()
		}
		w.rec.close()
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(dir)
		} else {
			fmt.Println("logs in", dir)
		}
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { <-signals; exit(notRun) }()
	time.AfterFunc(115*time.Second, func() { fatal("it takes too long") })
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		fatal("%v", err)
	}
	w.address = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	code := play(w)
	w.rec.say("%s", map[int]string{held: "the rule held", broken: "THE RULE IS BROKEN", notRun: "not run"}[code])
	exit(code)
}

// addReplicas starts replicas and writes their entries.
func (w *world) addReplicas(n int, make func(i int) *replica) []*replica {
	var out []*replica
	for i := range n {
		r := startReplica(make(i), w.rec)
		w.store.put("servers/"+r.id, r.entry())
		out = append(out, r)
	}
	w.replicas = append(w.replicas, out...)
	return out
}

// zones are those of the deployment.
var zones = []string{"booth-hall", "mix-hall", "archive-hall"}

// startDaemons starts daemons and waits until they are ready.
func (w *world) startDaemons(n, memoryMB int) {
	for i := range n {
		zone := zones[i%len(zones)]
		d := newDaemon(w.root, w.dir, fmt.Sprintf("frontend-%s-%d", zone, i/len(zones)+1), zone, memoryMB, w.address, w.rec)
		w.daemons = append(w.daemons, d)
		d.start()
	}
	end := time.Now().Add(15 * time.Second)
	for _, d := range w.daemons {
		for !isReady(d) {
			if time.Now().After(end) {
				fatal("%s does not get ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // traffic starts some seconds after the machines do
}

func isReady(d *daemon) bool {
	r, err := (&http.Client{Timeout: time.Second}).Get("http://" + d.ready + "/bluebellscale/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// count counts the tries for which f holds.
func count(all []outcome, f func(outcome) bool) int {
	n := 0
	for _, o := range all {
		if f(o) {
			n++
		}
	}
	return n
}

// summary describes how tries ended.
func summary(all []outcome) string {
	by := map[string]int{}
	var order []string
	for _, o := range all {
		what := fmt.Sprintf("%s %d", o.kind, o.status)
		if o.status == 0 || !o.complete {
			what += " " + short(o.err)
		}
		if by[what] == 0 {
			order = append(order, what)
		}
		by[what]++
	}
	var out []string
	for _, what := range order {
		out = append(out, fmt.Sprintf("%s: %d", what, by[what]))
	}
	return strings.Join(out, ", ")
}

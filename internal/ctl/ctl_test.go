package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/membership"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

// TestCommands runs each command line of testdata against one key-value service and one
// daemon. The input of a "file" directive becomes a file in DIR, and ADDR stands for the
// daemon's peer address.
func TestCommands(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		e := newEnvironment(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "file":
				e.write(t, d.CmdArgs[0].Key, d.Input)
				return ""
			case "run":
				return e.run(d.Input)
			default:
				t.Fatalf("unknown directive %s", d.Cmd)
				return ""
			}
		})
	})
}

// environment holds the services and files that a command line uses.
type environment struct {
	kv      *kv.Fake
	daemon  *httptest.Server
	replica *table.Replica
	dir     string
}

func newEnvironment(t *testing.T) *environment {
	e := &environment{kv: kv.NewFake(nil), dir: t.TempDir()}
	e.replica = table.NewReplica(table.ReplicaOptions{KV: e.kv.Client("daemon")})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.replica.Run(ctx, func() bool { return true })
	}()
	mux := http.NewServeMux()
	mux.Handle(table.StatePath, table.StateHandler(e.replica))
	mux.HandleFunc(membersPath, func(w http.ResponseWriter, _ *http.Request) {
		self := membership.MemberInfo{ID: "a", State: "alive", PeerAddress: e.daemon.Listener.Addr().String(), Incarnation: "1"}
		dead := membership.MemberInfo{ID: "b", State: "dead", PeerAddress: "127.0.0.1:1", Incarnation: "1"}
		_ = json.NewEncoder(w).Encode([]membership.MemberInfo{self, dead})
	})
	mux.HandleFunc("POST "+drainPath, func(http.ResponseWriter, *http.Request) {})
	e.daemon = httptest.NewServer(mux)
	t.Cleanup(func() {
		cancel()
		<-done
		e.daemon.Close()
	})
	return e
}

func (e *environment) write(t *testing.T, name, data string) {
	if err := os.WriteFile(filepath.Join(e.dir, name), []byte(data+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
}

var (
	timestamp = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`)
	spaces    = regexp.MustCompile(`(\S) {2,}`)
)

// TestGridIsAligned checks the alignment of columns whose cells differ in length.
func TestGridIsAligned(t *testing.T) {
	var b strings.Builder
	value := json.RawMessage(`[{"id":"a","state":"alive"},{"id":"longer","state":"dead","revision":18446744073709551615}]`)
	if err := writeGrid(&b, gridOf(value)); err != nil {
		t.Fatal(err)
	}
	want := "ID      STATE  REVISION\na       alive  -\nlonger  dead   18446744073709551615\n"
	if b.String() != want {
		t.Fatalf("got\n%swant\n%s", b.String(), want)
	}
}

// run returns the output of the command line and its exit code.
func (e *environment) run(line string) string {
	address := e.daemon.Listener.Addr().String()
	line = strings.NewReplacer("DIR", e.dir, "ADDR", address).Replace(line)
	var out bytes.Buffer
	code := Run(context.Background(), strings.Fields("bluebellctl "+line), Deps{
		NewKV: func([]string) platform.KV { return e.kv.Client("ctl") },
		CheckConfig: func(path string) error {
			if strings.HasSuffix(path, "good.ini") {
				return nil
			}
			return errors.New("[daemon] id: missing")
		},
		Client: e.daemon.Client(), Operator: "ana", Version: "v0", Stdin: strings.NewReader(""), Stdout: &out, Stderr: &out,
	})
	text := strings.NewReplacer(e.dir, "DIR", address, "ADDR").Replace(out.String())
	var b strings.Builder
	text = timestamp.ReplaceAllString(text, "TIME")
	// The widths of columns depend on the temporary directory and the port of this run.
	text = spaces.ReplaceAllString(text, "$1  ")
	for _, line := range strings.Split(text, "\n") {
		b.WriteString(strings.TrimRight(line, " ") + "\n")
	}
	return strings.TrimRight(b.String(), "\n") + "\nexit " + string(rune('0'+code)) + "\n"
}

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	headerID       = "Request-Id"
	headerInstance = "Expected-Instance"
	headerVersion  = "Expected-Version"
	headerLast     = "Last-Event-Id"
	headerUsage    = "Token-Usage"

	// idleTimeout is how long a channel may be idle; each answer says so.
	idleTimeout = 5 * time.Second
)

// replica stands in for a replica of a service. It reads requests and writes answers itself, so that it can write anything.
type replica struct {
	id, service, zone, software string
	slots                       int
	model                       string // empty: a plain service
	version                     uint64
	born                        int64
	listener                    net.Listener
	address                     string // in its entry
	log                         *record

	// firstEvent and eventGap are how long a stream takes to its first event and between events; work is how long a call takes.
	firstEvent, eventGap, work time.Duration

	mu       sync.Mutex
	sequence uint64
	loading  bool
	reported uint64 // version in its entry
	running  int
	most     int
	conns    map[net.Conn]bool
	silent   bool // the path is cut: nothing is answered
	unframed bool // streams have neither a length nor chunks, and end with their channel
	// trouble answers a request in place of the replica; it returns false to have it answered as usual.
	trouble func(c net.Conn, r *http.Request) bool
}

func startReplica(r *replica, log *record) *replica {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		fatal("listen: %v", err)
	}
	r.listener, r.log, r.born, r.version = l, log, time.Now().UnixMilli(), 1
	r.reported = 1
	r.conns = map[net.Conn]bool{}
	if r.address == "" {
		r.address = l.Addr().String()
	}
	go r.serve(l)
	return r
}

// entry is what the replica writes into the registry.
func (r *replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.software, "slots": r.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	}
	if r.model != "" {
		e["stage"], e["models"] = "both", r.models()
	}
	return e
}

func (r *replica) models() []map[string]any {
	return []map[string]any{{"name": r.model, "version": r.version, "adapters": []string{}}}
}

func (r *replica) setTrouble(f func(c net.Conn, q *http.Request) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trouble = f
}

// cut resets all channels and answers nothing on new ones.
func (r *replica) cut() (reset int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = true
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	return len(r.conns)
}

func (r *replica) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = false
}

func (r *replica) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent
}

// end ends the process: its listener and its channels are closed.
func (r *replica) end() (open int) {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
	return len(r.conns)
}

// startAgain starts a process with a version of the software under the id and at the address of the one that has ended. Its entry is not
// written yet.
func (r *replica) startAgain(software string) {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		fatal("listen again: %v", err)
	}
	r.mu.Lock()
	r.listener, r.born, r.software, r.sequence = l, time.Now().UnixMilli(), software, 0
	r.mu.Unlock()
	go r.serve(l)
}

func (r *replica) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serveConn(c)
	}
}

func (r *replica) serveConn(c net.Conn) {
	defer func() {
		c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		body, err := io.ReadAll(q.Body)
		if err != nil || r.isSilent() {
			_, _ = io.Copy(io.Discard, br) // until the other end closes
			return
		}
		if !r.answer(c, q, body) {
			return
		}
	}
}

// answer answers one request. It returns false if the channel ends.
func (r *replica) answer(c net.Conn, q *http.Request, body []byte) bool {
	if want := q.Header.Get(headerInstance); want != "" && want != r.id {
		return r.write(c, 421, "Instance-Id: "+r.id+"\r\n", "")
	}
	switch q.URL.Path {
	case "/bluebellscale/report":
		return r.report(c)
	case "/bluebellscale/order":
		return r.order(c, body)
	case "/health":
		return r.write(c, 200, "Instance-Id: "+r.id+"\r\n", "")
	}
	id := q.Header.Get(headerID)
	if id == "" {
		return r.write(c, 400, "Not-Executed: 1\r\n", "")
	}
	head := fmt.Sprintf("%s: %s\r\n", headerID, id)
	r.mu.Lock()
	trouble, loading, version := r.trouble, r.loading, r.version
	full := r.running >= r.slots
	if want := q.Header.Get(headerVersion); want != "" && want != strconv.FormatUint(version, 10) {
		r.mu.Unlock()
		return r.write(c, 421, head, "")
	}
	if full || loading {
		r.mu.Unlock()
		return r.write(c, 503, head+"Not-Executed: 1\r\n", "")
	}
	r.running++
	r.most = max(r.most, r.running)
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	r.log.ran(id, r.id, q)
	head += fmt.Sprintf("Response-Signature: %s.%s\r\n", r.id, id)
	if trouble != nil && trouble(c, q) {
		return false
	}
	if r.model == "" {
		time.Sleep(r.work)
		return r.write(c, 200, head, "done "+id+" "+strings.Repeat("x", 800))
	}
	return r.stream(c, q, head+fmt.Sprintf("Weight-Versions: %d\r\n", version))
}

// stream sends the events of a stream, one for five tokens.
func (r *replica) stream(c net.Conn, q *http.Request, head string) bool {
	r.mu.Lock()
	software, unframed := r.software, r.unframed
	r.mu.Unlock()
	framing, piece := "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n", func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	if unframed {
		framing, piece = "Connection: close\r\n", func(s string) string { return s }
	}
	last, _ := strconv.Atoi(q.Header.Get(headerLast))
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+framing+head+"\r\n")
	time.Sleep(r.firstEvent)
	events := eventsOf(q)
	for n := last + 1; n <= events && err == nil; n++ {
		_, err = io.WriteString(c, piece(fmt.Sprintf("id: %d\ndata: %s %s %d of %d\n\n", n, q.Header.Get(headerID), software, n, events)))
		time.Sleep(r.eventGap)
	}
	if err == nil && !unframed {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err == nil && !unframed
}

// eventsOf returns the number of events of the stream that a request asks for.
func eventsOf(q *http.Request) int {
	_, out, _ := strings.Cut(q.Header.Get(headerUsage), ",")
	tokens, _ := strconv.Atoi(out)
	return max(1, (tokens+4)/5)
}

func (r *replica) report(c net.Conn) bool {
	r.mu.Lock()
	out := map[string]any{
		"stage": "both", "busy": r.loading, "sequence": r.sequence, "waiting": 0, "running": r.running, "kv_used": 0, "kv_total": 53727, "handles": 0, "born": r.born,
	}
	if r.model != "" {
		out["models"] = r.models()
	}
	r.mu.Unlock()
	raw, _ := json.Marshal(out)
	return r.write(c, 200, "Content-Type: application/json\r\n", string(raw))
}

func (r *replica) order(c net.Conn, body []byte) bool {
	var o struct {
		Version  uint64  `json:"version"`
		Holder   string  `json:"holder"`
		Fence    uint64  `json:"fencing_token"`
		Expected *uint64 `json:"expected"`
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == 0 {
		return r.write(c, 400, "", "")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.loading || o.Expected != nil && *o.Expected != r.sequence:
		return r.write(c, 409, "", "")
	case o.Version == r.version:
		return r.write(c, 200, "", "")
	}
	r.sequence++
	r.loading = true
	time.AfterFunc(420*time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.loading, r.version = false, o.Version
	})
	return r.write(c, 202, "", "")
}

// write writes a whole answer.
func (r *replica) write(c net.Conn, status int, head, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nKeep-Alive: timeout=5\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, len(body), body)
	return err == nil
}

package origins

import (
	"context"
	"net/http"
	"slices"

	"github.com/bluebellscale/bluebellscale/internal/policy/origin"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// Find implements relay.Origins.
func (e *Exchange) Find(ctx context.Context, s relay.StreamID) (software string, err error) {
	if e.lookups.Add(1) > int64(e.o.Params.MaxLookups) {
		e.lookups.Add(-1)
		return "", request.Refuse(request.CodeOverloaded, http.StatusServiceUnavailable, busyRetry, "as many streams are looked up as may be")
	}
	defer e.lookups.Add(-1)
	v, heard := e.decide(ctx, s.Service, keyOf(s))
	e.logLookup(s, v, heard)
	e.o.Metrics.Tagged(map[string]string{"verdict": string(v.Reason)}).Counter("stream_lookups").Inc(1)
	if !v.GoesOn {
		return "", refusal(v)
	}
	return v.Software, nil
}

// turnout is how many other daemons there are, how many of them were asked for a stream, and how many answered.
type turnout struct {
	others, asked, answered int
	moreUnknown             bool // there may be others of which this daemon doesn't know
}

// unanswered returns how many daemons did not say what they know. Those that were not asked count: what the others know may be as old as what
// this daemon knows, if they were cut off together. One counts for all that may be unknown.
func (h turnout) unanswered() int {
	n := h.others - h.answered
	if h.moreUnknown {
		n++
	}
	return n
}

// logLookup logs on what evidence a stream without a record goes on or ends.
func (e *Exchange) logLookup(s relay.StreamID, v origin.Verdict, heard turnout) {
	if v.Reason == origin.ReasonRecorded {
		return
	}
	e.unrecordedLog.Do(func() {
		e.o.Logger.Info("A stream that was taken up has no record", "service", s.Service, "request", s.Request, "goes_on", v.GoesOn,
			"software", v.Software, "reason", v.Reason, "asked", heard.asked, "answered", heard.answered)
	})
}

// decide asks the daemons that keep the record of a stream, and reads which versions the key-value service lists, unless this daemon has
// the record.
func (e *Exchange) decide(ctx context.Context, service routing.ServiceID, key origin.Key) (origin.Verdict, turnout) {
	own := e.testimony(service, key)
	if own.Found {
		return origin.Decide([]origin.Testimony{own}, 0), turnout{}
	}
	reads := e.mayReadList(own.View)
	listed := make(chan []string, 1)
	if reads {
		go func() { listed <- e.listedNow(ctx, service) }()
	}
	confirm := !reads || e.readFailed.Load()
	testimonies, heard := e.askKeepers(ctx, service, key, confirm)
	if reads && !settled(testimonies) {
		own.View = own.View.ConfirmedBy(<-listed)
		if !confirm && !settled([]origin.Testimony{own}) {
			confirmed, again := e.askKeepers(ctx, service, key, true)
			testimonies, heard.answered = append(testimonies, confirmed...), max(heard.answered, again.answered)
		}
	}
	return origin.Decide(append(testimonies, own), heard.unanswered()), heard
}

// settled reports whether a daemon has the record, knows several versions, or has read that the key-value service lists one.
func settled(testimonies []origin.Testimony) bool {
	return slices.ContainsFunc(testimonies, func(t origin.Testimony) bool {
		return t.Found || t.View.Confirmed || t.View.Certainty == origin.Several
	})
}

// askKeepers asks the daemons that keep the record of a stream, and returns what they say: all that answer in time, or those up to the first that
// has the record. confirm is set if they are to read which versions the key-value service lists.
func (e *Exchange) askKeepers(ctx context.Context, service routing.ServiceID, key origin.Key, confirm bool) (testimonies []origin.Testimony, heard turnout) {
	ctx, cancel := context.WithTimeout(ctx, e.o.Params.Wait)
	defer cancel()
	heard.moreUnknown = !e.o.KnowsPeers()
	peers := e.others()
	keepers := origin.Keepers(membersOf(peers), key, e.o.Region, e.o.Params.Copies)
	heard.others, heard.asked = len(peers), len(keepers)
	q := &FindRequest{Stream: uint64(key), Service: string(service), Confirm: confirm}
	answers := make(chan *origin.Testimony, len(keepers))
	for _, n := range keepers {
		go func() { answers <- e.ask(ctx, peers[n], q) }()
	}
	for range keepers {
		t := <-answers // ctx bounds each call
		if t == nil {
			continue
		}
		heard.answered++
		testimonies = append(testimonies, *t)
		if t.Found {
			break
		}
	}
	return testimonies, heard
}

// ask returns what another daemon knows of a stream, nil if it does not answer.
func (e *Exchange) ask(ctx context.Context, p Peer, q *FindRequest) *origin.Testimony {
	client := NewKeeperProtobufClient("http://"+p.Address.String(), e.o.Client)
	r, err := client.Find(ctx, q)
	if err != nil {
		if ctx.Err() == nil {
			e.o.Logger.Debug("A daemon did not say where a stream began", "daemon", p.Name, "error", err)
		}
		return nil
	}
	return &origin.Testimony{
		Finding: origin.Finding{Found: r.Found, Software: r.Software, Conflict: r.Conflict},
		View:    viewOf(r),
	}
}

// namelessSole stands in an answer for the empty version, as the only one that an unsure daemon knows.
const namelessSole = "\x01"

// viewOf returns the view in an answer.
func viewOf(r *FindResponse) origin.View {
	v := origin.View{Certainty: certaintyOf(r.Certainty), Software: r.Sole, Confirmed: r.Confirmed}
	if v.Certainty == origin.Unsure && v.Software == namelessSole {
		v.Software, v.Nameless = "", true
	}
	return v
}

// soleOf returns how an answer names the only version of a view.
func soleOf(v origin.View) string {
	if v.Nameless {
		return namelessSole
	}
	return v.Software
}

// keeper serves the questions of other daemons.
type keeper struct{ exchange *Exchange }

// PathPrefix is the prefix of the paths that NewServer serves.
const PathPrefix = KeeperPathPrefix

// NewServer returns the handler of other daemons' questions.
func NewServer(e *Exchange) http.Handler { return NewKeeperServer(keeper{e}) }

// Find implements Keeper.
func (k keeper) Find(ctx context.Context, q *FindRequest) (*FindResponse, error) {
	service := routing.ServiceID(q.Service)
	t := k.exchange.testimony(service, origin.Key(q.Stream))
	if q.Confirm && !t.Found && k.exchange.mayReadList(t.View) {
		ctx, cancel := context.WithTimeout(ctx, k.exchange.o.Params.Wait/keeperReadShare)
		defer cancel()
		t.View = t.View.ConfirmedBy(k.exchange.listedNow(ctx, service))
	}
	return &FindResponse{
		Found: t.Found, Software: t.Finding.Software, Conflict: t.Conflict, Certainty: messageOf(t.View.Certainty), Sole: soleOf(t.View),
		Confirmed: t.View.Confirmed,
	}, nil
}

func certaintyOf(c Certainty) origin.Certainty {
	switch c {
	case Certainty_CERTAINTY_SOLE:
		return origin.Sole
	case Certainty_CERTAINTY_SEVERAL:
		return origin.Several
	}
	return origin.Unsure
}

func messageOf(c origin.Certainty) Certainty {
	switch c {
	case origin.Sole:
		return Certainty_CERTAINTY_SOLE
	case origin.Several:
		return Certainty_CERTAINTY_SEVERAL
	}
	return Certainty_CERTAINTY_UNSURE
}

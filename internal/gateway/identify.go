package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/pipeline"
	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

const (
	retryWhenStale    = 5 * time.Second
	retryWhenNoHolder = time.Second
)

// identifyFilter determines the caller's organisation, checks its permissions, and decides
// whether a peer serves the request.
type identifyFilter struct{ g *Gateway }

// Name implements pipeline.Filter.
func (f *identifyFilter) Name() string { return identifyFilterName }

// identifyFilterName is the name of the filter at which a job restarts if a peer failed to serve it.
const identifyFilterName = "identify"

// Process implements pipeline.Filter.
func (f *identifyFilter) Process(j *Job) pipeline.Decision {
	// A daemon partitioned from the key-value service and from its peers would continue
	// to apply rules that operators have changed, and callers would get different answers
	// from different daemons. Refusing limits the time for which an old rule is applied.
	if f.g.opts.Stale != nil && f.g.opts.Stale() {
		return pipeline.Finish(request.Refuse(request.CodeStale, http.StatusServiceUnavailable, retryWhenStale,
			"this daemon can not be sure of the table; ask for another address"))
	}
	j.org = f.g.organisationOf(j.bearer)
	if j.org == nil {
		return pipeline.Finish(unknownKeyRefusal())
	}
	if j.kind == kindService {
		return f.identifyService(j)
	}
	return f.identifyCompletion(j)
}

func (g *Gateway) organisationOf(bearer string) *table.Organisation {
	if bearer == "" {
		return nil
	}
	sum := sha256.Sum256([]byte(bearer))
	org, ok := g.opts.Tables.Current().OrganisationByKey(hex.EncodeToString(sum[:]))
	if !ok {
		return nil
	}
	return org
}

// identifyCompletion checks that the organisation may use the model. It forwards the job to
// the home daemon of the context, or computes the prompt's block hashes if this daemon serves
// the job.
func (f *identifyFilter) identifyCompletion(j *Job) pipeline.Decision {
	snapshot := f.g.opts.Tables.Current()
	j.model = request.Model(j.completion.Model)
	if _, known := snapshot.Model(j.model); !known {
		return pipeline.Finish(request.Refuse(request.CodeUnknownModel, http.StatusNotFound, 0, "no model %q", j.model))
	}
	if refusal := forbids(snapshot, j.org, j); refusal != nil {
		return pipeline.Finish(refusal)
	}
	version, _ := snapshot.VersionFor(j.org.ID, j.model)
	j.context.Scope = block.Scope{Org: j.org.ID, Model: j.model, Version: version}
	head := HeadDigest(j.completion.Prompt)
	if home := f.g.opts.Members.Owner(homeKey(j.org.ID, j.model, head)); f.g.shouldForward(j, home) {
		return f.g.forwardToHome(j, home)
	}
	return pipeline.Await(func(context.Context) pipeline.Decision { return f.hash(j) })
}

// hash computes the block hashes and the fingerprint of a prompt. It runs outside the
// filter's actor, since hashing a long prompt takes milliseconds.
func (f *identifyFilter) hash(j *Job) pipeline.Decision {
	prompt := []byte(j.completion.Prompt)
	j.context.Chain = block.Chain(j.context.Scope.Salt(), prompt)
	j.fingerprint = quarantine.Of(j.org.ID, []byte(j.model), prompt)
	return pipeline.Pass()
}

// identifyService checks that the organisation may call the service. If the service is not
// repeatable, it routes the call to the holder of its journal partition.
func (f *identifyFilter) identifyService(j *Job) pipeline.Decision {
	snapshot := f.g.opts.Tables.Current()
	instances := snapshot.ServiceTargets(j.call.service)
	if len(instances) == 0 {
		return pipeline.Finish(request.Refuse(request.CodeUnknownService, http.StatusNotFound, 0, "no service %q", j.call.service))
	}
	if refusal := forbids(snapshot, j.org, j); refusal != nil {
		return pipeline.Finish(refusal)
	}
	j.call.repeatable = !slices.ContainsFunc(instances, func(t *table.Target) bool { return !t.Repeatable })
	if j.call.repeatable {
		j.fingerprint = callFingerprint(j)
		return pipeline.Pass()
	}
	if j.call.key == "" {
		return pipeline.Finish(badField(HeaderIdempotencyKey, "is missing; service %s is not repeatable", j.call.service))
	}
	return pipeline.Await(func(ctx context.Context) pipeline.Decision { return f.routeToHolder(ctx, j) })
}

// routeToHolder routes a call that must run at most once to the daemon that holds its
// journal partition.
func (f *identifyFilter) routeToHolder(ctx context.Context, j *Job) pipeline.Decision {
	j.partition = f.g.opts.Journal.Partition(j.org.ID, j.call.key)
	h, err := f.g.opts.Journal.Holder(ctx, j.partition)
	if errors.Is(err, journal.ErrNoHolder) {
		return pipeline.Finish(request.Refuse(request.CodeNotHolder, http.StatusServiceUnavailable, retryWhenNoHolder,
			"the journal partition of this key has no holder now"))
	}
	if err != nil {
		// During an outage of the key-value service the holder of the partition can not be
		// determined. The local journal still returns the results that it has, and refuses
		// new keys.
		j.fingerprint = callFingerprint(j)
		return pipeline.Pass()
	}
	if h.ID == request.DaemonID(f.g.opts.Members.Self().Id) {
		j.fingerprint = callFingerprint(j)
		return pipeline.Pass()
	}
	if j.fromPeer {
		return pipeline.Finish(request.Refuse(request.CodeNotHolder, http.StatusServiceUnavailable, retryWhenNoHolder,
			"the journal partition of this key has moved"))
	}
	j.forwardTo = &peer.Member{Id: string(h.ID), PeerAddress: h.Address}
	return pipeline.Finish(nil)
}

func callFingerprint(j *Job) quarantine.Fingerprint {
	return quarantine.Of(j.org.ID, []byte(j.call.method), []byte(j.call.path), j.body)
}

// shouldForward reports whether a peer should serve the job. A forwarded job is never
// forwarded again: daemons with different membership views could otherwise send it in a
// loop.
func (g *Gateway) shouldForward(j *Job, home *peer.Member) bool {
	return !j.fromPeer && !j.serveLocally && home != nil && home.Id != g.opts.Members.Self().Id
}

func (g *Gateway) forwardToHome(j *Job, home *peer.Member) pipeline.Decision {
	j.forwardTo = home
	return pipeline.Finish(nil)
}

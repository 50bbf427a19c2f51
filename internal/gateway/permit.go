package gateway

import (
	"net/http"
	"slices"

	"github.com/bluebellscale/bluebellscale/internal/pipeline"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

// permitFilter refuses a job that the table no longer allows: it may have waited for long since it was identified, and operators may have
// taken away its organisation, its key, or the model or service meanwhile. An answer that has begun goes on.
type permitFilter struct{ g *Gateway }

// Name implements pipeline.Filter.
func (f *permitFilter) Name() string { return "permit" }

// Process implements pipeline.Filter.
func (f *permitFilter) Process(j *Job) pipeline.Decision {
	if j.outputTokens > 0 {
		return pipeline.Pass()
	}
	org := f.g.organisationOf(j.bearer)
	if org == nil || org.ID != j.org.ID {
		return pipeline.Finish(unknownKeyRefusal())
	}
	if refusal := forbids(f.g.opts.Tables.Current(), org, j); refusal != nil {
		return pipeline.Finish(refusal)
	}
	return pipeline.Pass()
}

func unknownKeyRefusal() *request.Error {
	return request.Refuse(request.CodeUnauthorized, http.StatusUnauthorized, 0, "the bearer key belongs to no organisation")
}

// forbids returns the refusal of a job that an organisation may not send, or nil.
func forbids(t *table.Snapshot, org *table.Organisation, j *Job) *request.Error {
	if j.kind == kindService {
		if !slices.Contains(org.Services, j.call.service) {
			return request.Refuse(request.CodeForbidden, http.StatusForbidden, 0, "organisation %s may not call service %s", org.ID, j.call.service)
		}
		return nil
	}
	if _, allowed := t.VersionFor(org.ID, j.model); !allowed {
		return request.Refuse(request.CodeForbidden, http.StatusForbidden, 0, "organisation %s may not use model %s", org.ID, j.model)
	}
	return nil
}

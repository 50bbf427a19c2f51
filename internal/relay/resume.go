package relay

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/upstream"
)

// streamID returns the identity of the stream that the request begins or resumes.
func (j *Job) streamID() StreamID {
	id := StreamID{Service: j.Service.ID, Org: j.OrgID(), Request: j.ID}
	if j.LastEventID != "" && j.Resumes != "" {
		id.Request = j.Resumes
	}
	return id
}

// bindResumed binds a request that resumes a stream to the version of the software that began it. Its error means that the
// stream can't go on.
func (s *Server) bindResumed(ctx context.Context, j *Job) error {
	if j.received != nil && j.received.software.Bound {
		j.Software = j.received.software
		return nil
	}
	if s.o.Origins == nil || j.LastEventID == "" || !j.Route.HasResumableStreams() {
		return nil
	}
	software, err := s.o.Origins.Find(ctx, j.streamID())
	if err != nil {
		return err
	}
	j.Software = BoundTo(software)
	return nil
}

// recordOrigin records where a stream begins, or was resumed, unless the daemon that chose the replica does.
func (s *Server) recordOrigin(ctx context.Context, j *Job, out *sink, a *attempt) {
	if s.o.Origins != nil && a.peer == nil && j.Route.HasResumableStreams() {
		s.o.Origins.Began(ctx, j.streamID(), out.software)
	}
}

// confirmation returns how the attempt finds out which process of the replica it reaches; nil: the request goes to any. A stream
// that goes on must reach a process of its version. One that begins reaches any, and the version at which it may go on is recorded.
func (j *Job) confirmation(r *replicas.Replica) *upstream.Confirmation {
	if !j.Software.Bound && !j.Route.HasResumableStreams() {
		return nil
	}
	// A daemon that forwarded the request is told the version with the first event, and nothing later.
	assume := !j.Software.Bound && j.received == nil
	return r.Confirmation(j.Software.Bound, assume)
}

// verifyOrigin verifies at which version a stream began, once its first attempt has ended early. Until then it was assumed that the
// replica had not restarted unnoticed. The stream goes on nowhere if it had.
func (s *Server) verifyOrigin(ctx context.Context, j *Job, out *sink, a *attempt) {
	if a.peer != nil || j.Software.Bound || !out.software.Bound || !j.Route.HasResumableStreams() {
		return
	}
	a.cancel() // the replica stops meanwhile
	if a.placement.Replica.Verify(ctx, a.response) {
		return
	}
	out.software = SoftwareBinding{}
	s.recordOrigin(ctx, j, out, a)
}

// servedBy returns the version of the software of the process that answers the attempt; unbound if it is not known, or the
// daemon that chose the replica does not say.
func (a *attempt) servedBy(ctx context.Context) SoftwareBinding {
	if a.peer == nil {
		version, known := a.placement.Replica.SoftwareOf(ctx, a.response)
		if !known {
			return SoftwareBinding{}
		}
		return BoundTo(version)
	}
	b, err := parseSoftware(a.response.Header)
	if err != nil {
		return SoftwareBinding{}
	}
	return b
}

// setServedBy tells the daemon that forwarded a request at which version its stream began.
func setServedBy(h http.Header, j *Job, software SoftwareBinding) {
	if j.received != nil {
		setSoftware(h, software)
	}
}

func setSoftware(h http.Header, b SoftwareBinding) {
	if b.Bound {
		h.Set(headerSoftware, url.QueryEscape(b.Version))
	}
}

// parseSoftware parses the version in a header between daemons. Its error names the header.
func parseSoftware(h http.Header) (SoftwareBinding, error) {
	values := h.Values(headerSoftware)
	if len(values) == 0 {
		return SoftwareBinding{}, nil
	}
	version, err := url.QueryUnescape(values[0])
	if err != nil {
		return SoftwareBinding{}, errors.Newf("%s: %q: want an escaped version", headerSoftware, values[0])
	}
	return BoundTo(version), nil
}

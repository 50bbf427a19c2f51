package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// maxRouteAddresses is the number of addresses in a route answer: first the home daemon
// of the context, then the alternatives to use if it does not answer.
const maxRouteAddresses = 3

// routeAnswer is the body of GET /v1/route.
type routeAnswer struct {
	Addresses []string `json:"addresses"` // ip:port, best first
	KeepMs    int64    `json:"keep_ms"`   // how long the caller may cache the answer
}

// homeKey returns the key that determines the home daemon of a context. It consists of the
// organisation, the model and the head of the prompt. The weight version is not included,
// so that a new version is served by the same daemon, which has the context's history.
func homeKey(org request.OrgID, model request.Model, headDigest string) string {
	return "context/" + string(org) + "/" + string(model) + "/" + headDigest
}

// HeadDigest returns the digest of a prompt's head that a caller may send in a route
// query: the hexadecimal SHA-256 of the first 256 bytes.
func HeadDigest(prompt string) string {
	head := prompt[:min(len(prompt), block.BytesPerBlock)]
	sum := sha256.Sum256([]byte(head))
	return hex.EncodeToString(sum[:])
}

func (g *Gateway) handleRoute(w http.ResponseWriter, r *http.Request) {
	key := "caller/" + r.RemoteAddr
	if org := g.organisationOf(bearerOf(r)); org != nil {
		q := r.URL.Query()
		key = routeKey(org.ID, q.Get("model"), q.Get("head"), q.Get("service"))
	}
	answer := routeAnswer{KeepMs: g.opts.RouteTTL.Milliseconds()}
	for _, m := range g.opts.Members.Rank(key, maxRouteAddresses) {
		answer.Addresses = append(answer.Addresses, m.CallerAddress)
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		g.log.Debug("Caller disconnected before its route was written", "error", err)
	}
}

func routeKey(org request.OrgID, model, head, service string) string {
	if service != "" {
		return "service/" + string(org) + "/" + service
	}
	return homeKey(org, request.Model(model), head)
}

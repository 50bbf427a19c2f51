package membership

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/bluebellscale/bluebellscale/internal/peer"
)

// MemberInfo describes a daemon in a state dump.
type MemberInfo struct {
	ID            string `json:"id"`
	State         string `json:"state"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   string `json:"incarnation"` // decimal; JSON numbers lack the precision
	Heartbeat     uint64 `json:"heartbeat"`
	Self          bool   `json:"self"`
}

// stateNames maps each member state to its name in a state dump.
var stateNames = map[peer.MemberState]string{alive: "alive", suspect: "suspect", leaving: "leaving", dead: "dead"}

// State returns the members as []MemberInfo, for a state dump.
func (s *Service) State() any { return s.infos() }

// StateHandler serves the members as a JSON array of MemberInfo.
func (s *Service) StateHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(s.infos()); err != nil {
			s.log.Debug("Failed to send the members", "error", err)
		}
	})
}

func (s *Service) infos() []MemberInfo {
	v := s.view.Load()
	infos := make([]MemberInfo, 0, len(v.members))
	for _, m := range v.members {
		infos = append(infos, MemberInfo{
			ID: m.Id, State: stateNames[m.State], PeerAddress: m.PeerAddress, CallerAddress: m.CallerAddress,
			Region: m.Region, FailureDomain: m.FailureDomain, Incarnation: strconv.FormatUint(m.Incarnation, 10),
			Heartbeat: m.Heartbeat, Self: m.Id == v.self.Id,
		})
	}
	return infos
}

// IsLive reports whether the daemon may own keys.
func (m MemberInfo) IsLive() bool {
	return m.State == stateNames[alive] || m.State == stateNames[suspect]
}

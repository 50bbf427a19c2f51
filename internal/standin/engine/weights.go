package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/standin/vmlist"
)

const weightsTimeout = time.Second

// RemoteWeights is a WeightStore over HTTP. A store that does not answer slows nobody.
type RemoteWeights struct {
	url    string
	client *http.Client
}

// NewRemoteWeights reports to the VM list stand-in at address (host:port).
func NewRemoteWeights(address string) *RemoteWeights {
	return &RemoteWeights{
		url:    "http://" + address + vmlist.PathWeights,
		client: &http.Client{Timeout: weightsTimeout},
	}
}

// Report implements WeightStore.
func (r *RemoteWeights) Report(report vmlist.LoadReport) vmlist.LoadAnswer {
	var answer vmlist.LoadAnswer
	body, err := json.Marshal(report)
	if err != nil {
		return answer
	}
	resp, err := r.client.Post(r.url, "application/json", bytes.NewReader(body))
	if err != nil {
		return answer
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return vmlist.LoadAnswer{}
	}
	return answer
}

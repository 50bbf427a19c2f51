package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/standin/vmlist"
)

const weightStoreTimeout = time.Second

// RemoteWeightStore is a WeightStore over HTTP. If the store does not respond, loads run
// at full speed.
type RemoteWeightStore struct {
	url    string
	client *http.Client
}

// NewRemoteWeightStore returns a client of the VM list stand-in at address (host:port).
func NewRemoteWeightStore(address string) *RemoteWeightStore {
	return &RemoteWeightStore{
		url:    "http://" + address + vmlist.PathWeights,
		client: &http.Client{Timeout: weightStoreTimeout},
	}
}

// Report implements WeightStore.
func (r *RemoteWeightStore) Report(report vmlist.LoadReport) vmlist.LoadResponse {
	var answer vmlist.LoadResponse
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
		return vmlist.LoadResponse{}
	}
	return answer
}

package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// PathVMs is the path of the platform's VM list.
const PathVMs = "/v1/vms"

// VMListClient reads the platform's VM list over HTTP. During an outage the caller continues with
// the last list that it read.
type VMListClient struct {
	transport *transport
}

var _ VMList = (*VMListClient)(nil)

// NewVMListClient returns a client for the VM list served at address (host:port).
func NewVMListClient(address string) *VMListClient {
	opts := Options{Addresses: []string{address}, Timeout: defaultTimeout}
	return &VMListClient{transport: newTransport(opts, &healthTracker{slowAfter: time.Second})}
}

// VMs implements VMList.
func (c *VMListClient) VMs(ctx context.Context) ([]VM, error) {
	resp, err := c.transport.attempt(ctx, request{method: http.MethodGet, path: PathVMs})
	if err != nil {
		return nil, err
	}
	if resp.status != http.StatusOK {
		return nil, errors.Mark(errors.Newf("status %d", resp.status), ErrUnavailable)
	}
	var out []VM
	if err := resp.decode(&out); err != nil {
		return nil, err
	}
	return out, nil
}

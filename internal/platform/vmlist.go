package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// PathVMs is the path of the platform's VM list.
const PathVMs = "/v1/vms"

// VMListClient reads the platform's VM list over HTTP. In an outage its caller goes
// on with the last list that it got.
type VMListClient struct {
	transport *transport
}

var _ VMList = (*VMListClient)(nil)

// NewVMListClient returns a client of the VM list at host:port.
func NewVMListClient(address string) *VMListClient {
	opts := Options{Addresses: []string{address}, Timeout: defaultTimeout}
	return &VMListClient{transport: newTransport(opts, &healthTracker{slowAfter: time.Second})}
}

// VMs implements VMList.
func (c *VMListClient) VMs(ctx context.Context) ([]VM, error) {
	a, err := c.transport.attempt(ctx, request{method: http.MethodGet, path: PathVMs})
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, errors.Mark(errors.Newf("status %d", a.status), ErrUnavailable)
	}
	var out []VM
	if err := a.decode(&out); err != nil {
		return nil, err
	}
	return out, nil
}

package membership

import (
	"context"
	"net"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// runVMs reads the platform's VM list every VMInterval. While reads fail, the known members
// stay.
func (s *Service) runVMs(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := s.options.VMs.VMs(ctx)
		if err == nil {
			s.updateVMs(vms)
		} else if ctx.Err() == nil {
			s.log.Warn("Failed to read the VM list", "error", err)
		}
		_ = sleep.For(ctx, s.options.VMInterval) // the loop checks ctx
	}
}

func (s *Service) updateVMs(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.core.SetListedAddresses(s.now(), peerAddresses(vms, s.options.Self.PeerAddress))
	s.refresh()
}

// peerAddresses returns the peer addresses of the listed VMs. The VM list holds IP addresses,
// to which peerAddresses adds the peer port of this daemon, as all daemons of a deployment
// use the same one. An address with a port keeps that port.
func peerAddresses(vms []platform.VM, self string) []string {
	_, port, err := net.SplitHostPort(self)
	if err != nil {
		return nil
	}
	var addresses []string
	for _, vm := range vms {
		if vm.Role != entryRole {
			continue
		}
		address := vm.Address
		if _, _, err := net.SplitHostPort(address); err != nil {
			address = net.JoinHostPort(vm.Address, port)
		}
		addresses = append(addresses, address)
	}
	return addresses
}

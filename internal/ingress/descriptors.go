package ingress

import (
	"math"
	"syscall"
)

// ProcessDescriptors returns how many descriptors the process may open.
func ProcessDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// Package version provides the release version.
package version

import "runtime/debug"

// Release is the version of this source tree.
const Release = "0.1.0-dev"

// String returns the release and, if known, the revision that the binary was built from.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Release
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return Release + "+" + s.Value[:min(12, len(s.Value))]
		}
	}
	return Release
}

// Package version names the release.
package version

import "runtime/debug"

// Release is the version of the source.
const Release = "0.1.0-dev"

// String returns the release with the revision that it was built from, if known.
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

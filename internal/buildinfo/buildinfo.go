// Package build tells which build of the program this is.
package buildinfo

import "runtime/debug"

// Version is the commit that the program was built from, with "+" where there
// were changes since, or "devel" where that is not known.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "devel"
	}
	rev, dirty := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			rev = s.Value[:min(12, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = "+"
		}
	}
	if rev == "" {
		return "devel"
	}
	return rev + dirty
}

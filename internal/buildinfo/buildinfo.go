// Package buildinfo identifies the build of the running program.
package buildinfo

import "runtime/debug"

// unknownVersion is the version of a build without version control information, such as a test.
const unknownVersion = "devel"

// revisionDigits is the number of digits of the commit hash in a version.
const revisionDigits = 12

// Version returns the first 12 digits of the commit that the program was built from, followed by "+" if the work tree
// had uncommitted changes. It returns "devel" if the build has no commit recorded.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownVersion
	}
	revision, dirty := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(revisionDigits, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = "+"
		}
	}
	if revision == "" {
		return unknownVersion
	}
	return revision + dirty
}

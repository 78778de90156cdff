// Package buildinfo identifies the build of the running program.
package buildinfo

import "runtime/debug"

// unknownVersion is the version of a build without version control information, such as a test.
const unknownVersion = "devel"

// revisionDigits is how much of the commit's hash a version has.
const revisionDigits = 12

// Version returns the commit that the program was built from, in 12 digits, with "+" if the tree had changes that
// were not committed; "devel" where the build does not know its commit.
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

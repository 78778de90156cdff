package capture

import "testing"

// Guards against a panic in commands that are called without the path of a capture.
func TestFindRunsWithoutPathsIsAnError(t *testing.T) {
	if runs, err := FindRuns(); err == nil {
		t.Errorf("%d runs and no error", len(runs))
	}
}

package capture

import "testing"

// Guards against: a command that is given no capture panics.
func TestFindRunsWithoutPathsIsAnError(t *testing.T) {
	if runs, err := FindRuns(); err == nil {
		t.Errorf("%d runs and no error", len(runs))
	}
}

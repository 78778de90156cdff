package replay

import (
	"errors"
	"testing"
)

// fullDisk is a writer whose writes all fail.
type fullDisk struct{}

var errFullDisk = errors.New("no space left on device")

func (fullDisk) Write([]byte) (int, error) { return 0, errFullDisk }

// Emit returns the error of its output as it is, so that replay --emit does not print its text twice.
func TestEmitReportsAnErrorOfItsOutputOnce(t *testing.T) {
	run, _, _ := recordRun(t, 17, 0, 20)
	_, err := Emit(run, Options{}, fullDisk{})
	if err == nil || err.Error() != errFullDisk.Error() {
		t.Errorf("the error is %q", err)
	}
}

package replay

import (
	"errors"
	"testing"
)

// fullDisk fails each write.
type fullDisk struct{}

var errFullDisk = errors.New("no space left on device")

func (fullDisk) Write([]byte) (int, error) { return 0, errFullDisk }

// Guards against: replay --emit prints an error of its output twice.
func TestEmitReportsAnErrorOfItsOutputOnce(t *testing.T) {
	run, _, _ := recordRun(t, 17, 0, 20)
	_, err := Emit(run, Options{}, fullDisk{})
	if err == nil || err.Error() != errFullDisk.Error() {
		t.Errorf("the error is %q", err)
	}
}

package balancer

import "testing"

func TestBackoff(t *testing.T) {
	if got := backoff(1, true, 30, 0.5); got != 500_000 {
		t.Errorf("silent: %d", got)
	}
	if got := backoff(1, false, 30, 0.5); got != 15_000_000 {
		t.Errorf("quick errors before 300 gateways: %d", got)
	}
	if got := backoff(60, true, 1, 1); got != 20_000_000 {
		t.Errorf("bound: %d", got)
	}
}

package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"archknot/internal/contract/ledger"
	"archknot/internal/controlsocket"
	"archknot/internal/xdsclient"
)

// ownSetting is a setting of the program's own that two processes of a gateway can't both use at once.
type ownSetting struct {
	name string
	conf string
	// inUse reports whether a process uses what the setting names.
	inUse func() bool
}

func ownSettings(t *testing.T) []ownSetting {
	t.Helper()
	dir, metrics, peers, absent := t.TempDir(), freeAddress(t), freeAddress(t), freeAddress(t)
	path := func(name string) string { return filepath.Join(dir, name) }
	return []ownSetting{
		{"contracts.store", "[contracts]\nstore " + path("balances") + "\n[contract mine]\ntenants me\nrate 100000\nburst 100000\nbudget day 0 1000000\n", func() bool {
			s, _, err := ledger.Open(path("balances"))
			if err == nil {
				s.Close()
			}
			return err != nil
		}},
		{"control-service.store", "[control-service]\naddress " + absent + "\nstore " + path("versions") + "\n", func() bool {
			s, _, err := xdsclient.OpenStore(path("versions"))
			if err == nil {
				s.Close()
			}
			return err != nil
		}},
		{"capture.directory", "[capture]\nrecord on\ndirectory " + path("capture") + "\n", func() bool {
			runs, err := os.ReadDir(path("capture"))
			return err == nil && len(runs) > 0
		}},
		{"metrics.listen", "[metrics]\nlisten " + metrics + "\n", func() bool {
			resp, err := http.Get("http://" + metrics + "/metrics")
			if err == nil {
				resp.Body.Close()
			}
			return err == nil
		}},
		{"control.socket", "[control]\nsocket " + path("c") + "\n", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			var stats map[string]any
			return controlsocket.Call(ctx, path("c"), "figures", struct{}{}, &stats) == nil
		}},
		{"peers.listen", "[peers]\nlisten " + peers + "\nsite here\n", func() bool {
			conn, err := net.Dial("tcp", peers)
			if err != nil {
				return false
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprintln(conn, "other 0")
			_, err = bufio.NewReader(conn).ReadString('\n')
			return err == nil
		}},
	}
}

// Guards against an upgrade whose new process ends because the old one has a store or an address of the program's own (issue
// 74, review/9). The new one serves at once, and has what the setting names soon after the old one's end.
func TestUpgradeWithSettingsOfTheProgramsOwn(t *testing.T) {
	for _, setting := range ownSettings(t) {
		t.Run(setting.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 2)
			conf := filepath.Join(t.TempDir(), "conf")
			if err := os.WriteFile(conf, []byte(setting.conf), 0o600); err != nil {
				t.Fatal(err)
			}
			env := "ARCHKNOT_CONF=" + conf
			p := d.start(env)
			d.waitUntilReady(p)
			if !setting.inUse() {
				t.Fatal("the first process doesn't use it")
			}
			front := newFrontChecks(p)
			defer front.stop()
			traffic := d.startTraffic(2)
			for range 2 {
				p = d.upgrade(p, env)
				ended := time.Now()
				waitUntil(t, "the new process has taken it over", setting.inUse)
				t.Logf("taken over %v after the old process's end", time.Since(ended))
			}
			traffic.stopAndWait()
			select {
			case err := <-p.exited:
				t.Errorf("the new process has ended: %v", err)
			default:
			}
			if n := traffic.failed.Load() + traffic.broken.Load(); n > 0 {
				t.Errorf("%d requests were rejected, failed or broken, want 0", n)
			}
		})
	}
}

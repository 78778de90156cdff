package xdsclient

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	mrand "math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"archknot/internal/configversion"
	pb "archknot/internal/configversion/configpb"
	"archknot/internal/fakes/controlservice"
)

// target remembers what was applied, and refuses some versions as steps.
type target struct {
	mu      sync.Mutex
	inForce *configversion.Config
	applied []configversion.Number
	rejects map[configversion.Number]bool
}

func (t *target) Apply(_ context.Context, c *configversion.Config) configversion.Rejections {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c != nil && t.rejects[c.Number] {
		return configversion.Rejections{{Type: configversion.TypeClass, Resource: "chat", Reason: "taken out with 3 requests in hand"}}
	}
	t.inForce = c
	if c != nil {
		t.applied = append(t.applied, c.Number)
	}
	return nil
}

func (t *target) version() configversion.Number {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inForce == nil {
		return 0
	}
	return t.inForce.Number
}

func version(n uint64) *controlservice.Version {
	return &controlservice.Version{Number: n, Resources: map[configversion.ResourceType][]proto.Message{
		configversion.TypeClass: {&pb.Class{Name: "chat", AimUs: 1_000_000, DeadlineUs: 3_000_000, Worth: float64(n)},
			&pb.Class{Name: fmt.Sprint("extra", n%2), AimUs: 1_000_000, DeadlineUs: 4_000_000, Worth: 1}},
		configversion.TypeAttempts: {&pb.Attempts{Most: uint32(1 + n%3)}},
		configversion.TypeWatch:    {&pb.Watch{WaitUs: 5_000_000, CallTimeoutUs: 1_000_000}},
	}}
}

type gateway struct {
	*target
	client *Client
	stop   func()
	done   chan struct{}
}

func startClient(t *testing.T, name, addr, store string, change func(*Options)) *gateway {
	t.Helper()
	g := &gateway{target: &target{rejects: map[configversion.Number]bool{}}, done: make(chan struct{})}
	o := Options{Address: addr, Machine: configversion.DefaultOptions(name, uint64(len(name))), Log: func(msg string, args ...any) {}}
	o.Machine.InitialBackoff, o.Machine.MaxBackoff, o.Machine.MinInterval = 20_000, 300_000, 50_000
	if store != "" {
		s, _, err := OpenStore(store)
		if err != nil {
			t.Fatal(err)
		}
		o.Store = s
	}
	if change != nil {
		change(&o)
	}
	var err error
	if g.client, err = New(o, g.target); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		g.client.Run(ctx)
		close(g.done)
	}()
	g.stop = sync.OnceFunc(func() {
		stop()
		<-g.done
		if o.Store != nil {
			o.Store.Close()
		}
	})
	t.Cleanup(g.stop)
	return g
}

func waitFor(t *testing.T, what string, done func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for end := begin.Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
	return time.Since(begin)
}

func service(t *testing.T) *controlservice.Service {
	t.Helper()
	s, err := controlservice.Start("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// Three gateways, in both forms of the stream: good, bad, truncated and step-bad
// versions, a service that vanishes in mid-update, floods, an old one again.
func TestVersionScripts(t *testing.T) {
	for name, delta := range map[string]bool{"world": false, "delta": true} {
		t.Run(name, func(t *testing.T) {
			s := service(t)
			var all []*gateway
			for i := range 3 {
				all = append(all, startClient(t, fmt.Sprint("n", i), s.Addr(), filepath.Join(t.TempDir(), "store"), func(o *Options) { o.Delta = delta }))
			}
			on := func(n uint64) func() bool {
				return func() bool {
					for _, g := range all {
						if g.version() != configversion.Number(n) {
							return false
						}
					}
					return true
				}
			}
			s.Publish(version(1))
			waitFor(t, "version 1", on(1))
			bad := version(2)
			bad.Resources[configversion.TypeAttempts] = []proto.Message{&pb.Attempts{Most: 9}}
			s.Publish(bad)
			ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
			defer stop()
			refused := func(want string) func([]controlservice.Ack) bool {
				return func(list []controlservice.Ack) bool {
					who := map[string]bool{}
					for _, a := range list {
						if strings.Contains(a.Error, want) {
							who[a.Gateway] = true
						}
					}
					return len(who) == 3
				}
			}
			if err := s.AwaitAcks(ctx, refused("version 2: Attempts: most: expected 1 to 3, got 9")); err != nil {
				t.Fatal(err, s.Acks())
			}
			cut := version(3)
			cut.Truncate = configversion.TypeClass
			s.Publish(cut)
			if err := s.AwaitAcks(ctx, refused("resource 0: proto:")); err != nil {
				t.Fatal(err, s.Acks())
			}
			for _, g := range all {
				g.mu.Lock()
				g.rejects[4] = true
				g.mu.Unlock()
			}
			s.Publish(version(4))
			if err := s.AwaitAcks(ctx, refused("version 4: Class chat: taken out with 3 requests in hand")); err != nil {
				t.Fatal(err, s.Acks())
			}
			if !on(1)() {
				t.Fatal("not on version 1 any more")
			}
			half := version(5)
			half.CloseAfter = 2
			before := s.Streams()
			s.Publish(half)
			waitFor(t, "new streams", func() bool { return s.Streams() >= before+6 })
			if !on(1)() {
				t.Fatal("a version was applied in part")
			}
			s.Publish(version(6))
			waitFor(t, "version 6", on(6))
			s.Publish(version(1))
			if err := s.AwaitAcks(ctx, refused("version 1 is older than 6")); err != nil {
				t.Fatal(err)
			}
			for n := range uint64(50) {
				s.Publish(version(10 + n))
			}
			took := waitFor(t, "the flood's last", on(59))
			if took > 2*time.Second {
				t.Errorf("the flood's last took %v", took)
			}
			for _, g := range all {
				g.mu.Lock()
				if n := len(g.applied); n > 40 {
					t.Errorf("%d versions were applied", n)
				}
				if w := g.inForce.Classes[0].PriorityWeight; w != 59 && g.inForce.Classes[1].PriorityWeight != 59 {
					t.Errorf("in part: %+v", g.inForce)
				}
				g.mu.Unlock()
			}
			// The service vanishes and comes back with the next version.
			s.Stop()
			odd := version(60)
			odd.RepeatNonce = true
			s.Publish(odd)
			if err := s.Restart(); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "version 60", on(60))
			acked := func(list []controlservice.Ack) bool {
				n := 0
				for _, a := range list {
					if a.Error == "" && (a.Version == "v60" || delta) && a.Type == configversion.TypeVersion {
						n++
					}
				}
				return n >= 3
			}
			if err := s.AwaitAcks(ctx, acked); err != nil {
				t.Error("not acknowledged")
			}
			for _, g := range all {
				h, err := g.client.options.Store.History()
				if err != nil || len(h) < 5 {
					t.Errorf("history: %v %v", h, err)
				}
			}
		})
	}
}

// A restart begins with the last good version, without the service; and does not
// wait for it.
func TestRestartWithoutControlService(t *testing.T) {
	s := service(t)
	store := filepath.Join(t.TempDir(), "store")
	g := startClient(t, "n0", s.Addr(), store, nil)
	s.Publish(version(7))
	waitFor(t, "version 7", func() bool { return g.version() == 7 })
	waitFor(t, "kept", func() bool { c, _, _ := g.client.options.Store.Load(); return c != nil && c.Number == 7 })
	g.stop()
	s.Stop()
	g = startClient(t, "n0", s.Addr(), store, nil)
	waitFor(t, "version 7 again", func() bool { return g.version() == 7 })
	if len(g.inForce.Classes) != 2 || g.inForce.Attempts.Max != 2 || g.inForce.Watch.Wait != 5_000_000 {
		t.Errorf("%+v", g.inForce)
	}
	if err := g.client.Rollback(t.Context(), "ordered"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the files", func() bool { return g.version() == 0 })
	g.stop()
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	g = startClient(t, "n0", s.Addr(), store, nil)
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	if err := s.AwaitAcks(ctx, func(l []controlservice.Ack) bool {
		return len(l) > 0 && strings.Contains(l[len(l)-1].Error, "given back or refused before")
	}); err != nil || g.version() != 0 {
		t.Error("a version that was given back was taken again", err)
	}
}

// A kill at any point of a write leaves the state of before, or that of after.
func TestStoreSurvivesKills(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "store")
	rng := mrand.New(mrand.NewPCG(1, 2))
	config := func(n uint64) *configversion.Config {
		c := &configversion.Config{}
		list, _ := proto.Marshal(&pb.Version{Number: n})
		part, err := Decode(configversion.TypeVersion, [][]byte{list})
		if err != nil {
			t.Fatal(err)
		}
		c.Number = part.Manifest.Number
		part.MergeInto(c)
		return c
	}
	last := configversion.Number(0)
	for round := range 200 {
		s, aside, err := OpenStore(path)
		if err != nil || aside != "" {
			t.Fatal(err, aside)
		}
		c, _, err := s.Load()
		if err != nil || c != nil && c.Number != last || c == nil && last != 0 {
			t.Fatalf("round %d: %+v, %v; last was %d", round, c, err, last)
		}
		before, _ := os.ReadFile(path)
		n := uint64(round + 1)
		if err := s.SaveVersion(config(n), []configversion.Number{3}); err != nil {
			t.Fatal(err)
		}
		s.Close()
		after, _ := os.ReadFile(path)
		// A kill: some pages of the transaction have come to the disk, the meta page,
		// which is written last, has not.
		torn := append([]byte(nil), after...)
		page := os.Getpagesize()
		whole := rng.IntN(3) == 0
		if !whole {
			for _, m := range []int{0, 1} { // the newer meta page goes back
				if m*page+page <= len(before) {
					copy(torn[m*page:(m+1)*page], before[m*page:(m+1)*page])
				}
			}
			for p := 2; p*page+page <= min(len(before), len(torn)); p++ {
				if rng.IntN(2) == 0 {
					copy(torn[p*page:(p+1)*page], before[p*page:(p+1)*page])
				}
			}
			if len(before) == 0 {
				whole = true
				torn = after
			}
		}
		if err := os.WriteFile(path, torn, 0o600); err != nil {
			t.Fatal(err)
		}
		if whole {
			last = configversion.Number(n)
		}
	}
}

// A damaged store is set aside and told, and the files serve.
func TestDamagedStoreIsSetAside(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store")
	for _, text := range []string{"not a store", strings.Repeat("\xff", 64<<10)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, aside, err := OpenStore(path)
		if err != nil || aside == "" {
			t.Fatal(err, aside)
		}
		if kept, _ := os.ReadFile(aside); string(kept) != text {
			t.Error("it was not kept")
		}
		if c, _, err := s.Load(); c != nil || err != nil {
			t.Error(c, err)
		}
		if info, _ := os.Stat(path); info.Mode().Perm() != 0o600 {
			t.Error(info.Mode())
		}
		s.Close()
	}
}

func TestHistoryIsBounded(t *testing.T) {
	s, _, err := OpenStore(filepath.Join(t.TempDir(), "store"))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.db.NoSync = true
	for i := range maxHistoryEntries + 50 {
		if err := s.AppendHistory(HistoryEntry{Version: configversion.Number(i)}); err != nil {
			t.Fatal(err)
		}
	}
	h, err := s.History()
	if err != nil || len(h) != maxHistoryEntries || h[len(h)-1].Version != maxHistoryEntries+49 {
		t.Errorf("%d lines, %v", len(h), err)
	}
}

// authority makes certificates.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	raw, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	c, _ = x509.ParseCertificate(raw)
	return &authority{t, key, c}
}

// issue writes a certificate, its key and the authority's into a folder.
func (a *authority) issue(dir string, notAfter time.Time) TLSFiles {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: notAfter,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	raw, err := x509.CreateCertificate(rand.Reader, c, a.cert, key.Public(), a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	f := TLSFiles{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"), RefreshInterval: 20 * time.Millisecond}
	for path, b := range map[string]*pem.Block{f.Cert: {Type: "CERTIFICATE", Bytes: raw}, f.Key: {Type: "PRIVATE KEY", Bytes: pkcs8}, f.CA: {Type: "CERTIFICATE", Bytes: a.cert.Raw}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(b), 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
	return f
}

// Both sides show certificates; wrong and expired ones are refused in words, and
// files that are replaced are read again.
func TestMutualTLS(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	hour := time.Now().Add(time.Hour)
	creds, closeFiles, err := ServerTLS(a.issue(t.TempDir(), hour))
	if err != nil {
		t.Fatal(err)
	}
	defer closeFiles()
	s, err := controlservice.Start("127.0.0.1:0", creds)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	s.Publish(version(1))
	var mu sync.Mutex
	said := ""
	connect := func(f TLSFiles) *gateway {
		creds, closeFiles, err := ClientTLS(f)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(closeFiles)
		mu.Lock()
		said = ""
		mu.Unlock()
		return startClient(t, "n0", s.Addr(), "", func(o *Options) {
			o.TLS = creds
			o.Log = func(msg string, args ...any) {
				mu.Lock()
				said += fmt.Sprintln(append([]any{msg}, args...)...)
				mu.Unlock()
			}
		})
	}
	heard := func(what string) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return strings.Contains(said, what)
		}
	}
	g := connect(a.issue(t.TempDir(), hour))
	waitFor(t, "version 1", func() bool { return g.version() == 1 })
	g.stop()
	// The gateway's is of another authority: the service refuses it.
	dir := t.TempDir()
	foreign := other.issue(dir, hour)
	if err := os.WriteFile(foreign.CA, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw}), 0o600); err != nil {
		t.Fatal(err)
	}
	g = connect(foreign)
	waitFor(t, "a refusal", heard("config_lost"))
	if g.version() != 0 {
		t.Error("a foreign gateway was served")
	}
	// Its files are replaced: it is let in, with no restart.
	a.issue(dir, hour)
	waitFor(t, "version 1", func() bool { return g.version() == 1 })
	g.stop()
	// The service's is of an authority that the gateway does not know.
	g = connect(other.issue(t.TempDir(), hour))
	waitFor(t, "the reason", heard("the other side's certificate is not accepted"))
	g.stop()
	// The service's has expired.
	expired, closeExpired, err := ServerTLS(a.issue(t.TempDir(), time.Now().Add(-time.Hour)))
	if err != nil {
		t.Fatal(err)
	}
	defer closeExpired()
	old, err := controlservice.Start("127.0.0.1:0", expired)
	if err != nil {
		t.Fatal(err)
	}
	defer old.Stop()
	s = old
	g = connect(a.issue(t.TempDir(), hour))
	waitFor(t, "the reason", heard("is of another time: valid from"))
	if g.version() != 0 {
		t.Error("an expired service was followed")
	}
}

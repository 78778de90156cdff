package config

import (
	"cmp"
	"net"
	"path/filepath"

	"github.com/dustin/go-humanize"

	"archknot/internal/contract"
)

// minSubsetReplicas is the least bound of a subset: with fewer replicas one that
// fails is too large a part.
const minSubsetReplicas = 16

// validator checks what no key can check by itself.
type validator struct {
	config *Config
	reader *reader
	seen   map[string]entry // by the full names of the keys
}

// validate checks the settings, and completes those that depend on others.
func (v *validator) validate() {
	c := v.config
	v.checkCapture()
	v.checkMetrics()
	v.checkSubset()
	if err := contract.ValidateTerms(c.Contracts.Teams); err != nil {
		v.reader.addProblem(c.File, noPosition, "", "%v", err)
	}
	v.checkControlService()
	c.Incident.Directory = cmp.Or(c.Incident.Directory, filepath.Join(c.Capture.Directory, "incidents"))
}

// fail adds an error about a key, at its line if it was set.
func (v *validator) fail(key, format string, args ...any) {
	if e, ok := v.seen[key]; ok {
		v.reader.addProblem(e.file, e.setting.Pos, key, format, args...)
		return
	}
	v.reader.addProblem(v.config.File, noPosition, key, format, args...)
}

func (v *validator) checkCapture() {
	capture := &v.config.Capture
	switch {
	case capture.Record && capture.Directory == "":
		v.fail("capture.directory", "missing, and needed to record")
	case capture.SegmentSize > capture.KeepSize/2:
		v.fail("capture.segment-size", "expected at most half of keep-size (%s)", humanize.IBytes(uint64(capture.KeepSize)))
	case capture.SegmentAge > capture.KeepAge/2:
		v.fail("capture.segment-age", "expected at most half of keep-age (%s)", formatDuration(capture.KeepAge))
	case capture.CheckpointInterval > capture.KeepAge/2:
		v.fail("capture.checkpoint", "expected at most half of keep-age (%s): a kept file without one cannot be replayed", formatDuration(capture.KeepAge))
	case v.config.Incident.Window > capture.KeepAge:
		v.fail("incident.window", "expected at most capture.keep-age (%s): older files are gone", formatDuration(capture.KeepAge))
	}
}

func (v *validator) checkMetrics() {
	listen := v.config.Metrics.Listen
	if listen == "" {
		return
	}
	if _, port, err := net.SplitHostPort(listen); err != nil || port == "" {
		v.fail("metrics.listen", "expected host:port, got %q", listen)
	}
}

func (v *validator) checkSubset() {
	if maxReplicas := v.config.Subset.MaxReplicas; maxReplicas != 0 && maxReplicas < minSubsetReplicas {
		v.fail("subset.most", "expected 0, or %d or more, got %d", minSubsetReplicas, maxReplicas)
	}
}

func (v *validator) checkControlService() {
	service := &v.config.ControlService
	if service.Address == "" {
		return
	}
	host, port, err := net.SplitHostPort(service.Address)
	ip := net.ParseIP(host)
	loopback := ip != nil && ip.IsLoopback()
	switch {
	case err != nil || port == "":
		v.fail("control-service.address", "expected host:port, got %q", service.Address)
	case (service.Cert == "") != (service.Key == "") || (service.Cert == "") != (service.CA == ""):
		v.fail("control-service.cert", "cert, key and ca go together")
	case service.Cert == "" && !loopback:
		v.fail("control-service.cert", "needed: without certificates only a loopback address will do")
	}
}

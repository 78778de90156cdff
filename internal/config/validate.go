package config

import (
	"cmp"
	"net"
	"path/filepath"

	"github.com/dustin/go-humanize"

	"archknot/internal/contract"
)

// minSubsetReplicas is the smallest allowed subset.most other than 0. In a smaller subset
// the failure of one replica removes too much of the capacity.
const minSubsetReplicas = 16

// validator checks what the parsing of a single key does not, such as related keys.
type validator struct {
	config *Config
	reader *reader
	seen   map[string]entry // entries of the keys that were set, by full name
}

// validate checks the settings and completes defaults that depend on other settings.
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

// fail adds an error about a key, with the key's position if the file sets it.
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
		v.fail("capture.directory", "missing: required if record is on")
	case capture.SegmentSize > capture.KeepSize/2:
		v.fail("capture.segment-size", "expected at most half of keep-size (%s)", humanize.IBytes(uint64(capture.KeepSize)))
	case capture.SegmentAge > capture.KeepAge/2:
		v.fail("capture.segment-age", "expected at most half of keep-age (%s)", formatDuration(capture.KeepAge))
	case capture.CheckpointInterval > capture.KeepAge/2:
		v.fail("capture.checkpoint", "expected at most half of keep-age (%s): a retained segment without a checkpoint cannot be replayed", formatDuration(capture.KeepAge))
	case v.config.Incident.Window > capture.KeepAge:
		v.fail("incident.window", "expected at most capture.keep-age (%s): older segments are deleted", formatDuration(capture.KeepAge))
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
		v.fail("control-service.cert", "cert, key and ca must be set together")
	case service.Cert == "" && !loopback:
		v.fail("control-service.cert", "missing: required unless address is a loopback IP address")
	}
}

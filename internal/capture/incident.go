package capture

import (
	"cmp"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/google/renameio/v2"
)

// ManifestName is the name of the manifest in an incident's directory.
const ManifestName = "incident.json"

// Manifest describes an incident. It is stored as JSON in the file ManifestName of the incident's directory.
type Manifest struct {
	Reason   string    `json:"reason"`
	Gateway  string    `json:"gateway"`
	Build    string    `json:"build"`
	At       time.Time `json:"at"`
	Manual   bool      `json:"ordered"` // requested by an operator, not detected
	Segments []string  `json:"segments"`
	Bytes    int64     `json:"bytes"`
}

// SavedIncident is the result of saving an incident.
type SavedIncident struct {
	Path     string // the incident's directory
	Segments int
	Bytes    int64
	Err      error
}

var (
	errIncidentsDisabled = errors.New("no incidents are kept here")
	errIncidentTooSoon   = errors.New("too soon after the last automatic incident")
)

// saveIncident saves the closed segments of the last IncidentWindow in a new directory. Automatic incidents, those that
// no operator requested, are limited to one per IncidentInterval.
func (w *Writer) saveIncident(reason string, manual bool) SavedIncident {
	if w.options.MaxIncidents <= 0 {
		return SavedIncident{Err: errIncidentsDisabled}
	}
	now := time.Now()
	if !manual && now.Sub(w.lastAutomaticIncident) < w.options.IncidentInterval {
		return SavedIncident{Err: errIncidentTooSoon}
	}
	if !manual {
		w.lastAutomaticIncident = now
	}
	saved, err := w.linkSegments(reason, manual, now)
	if err != nil {
		w.options.Log("incident_failed", "err", err.Error(), "reason", reason)
		return SavedIncident{Err: err}
	}
	w.options.Log("incident", "reason", reason, "ordered", manual, "path", saved.Path, "segments", saved.Segments, "bytes", saved.Bytes)
	return saved
}

// linkSegments creates the incident's directory, with a manifest and hard links to the segments.
func (w *Writer) linkSegments(reason string, manual bool, now time.Time) (SavedIncident, error) {
	if err := os.MkdirAll(w.options.IncidentDirectory, directoryMode); err != nil {
		return SavedIncident{}, err
	}
	if err := w.deleteOldIncidents(); err != nil {
		return SavedIncident{}, err
	}
	dir := filepath.Join(w.options.IncidentDirectory, w.options.Gateway+"-"+now.UTC().Format(timestampFormat))
	if err := os.Mkdir(dir, directoryMode); err != nil {
		return SavedIncident{}, err
	}
	m := Manifest{Reason: reason, Gateway: w.options.Gateway, Build: w.options.Build, At: now.UTC(), Manual: manual}
	for _, s := range listSegments(w.options.Directory, w.options.Gateway) {
		isOpen := s.path == w.path && w.file != nil
		if now.Sub(s.modifiedAt) > w.options.IncidentWindow || isOpen {
			continue
		}
		name := filepath.Base(s.path)
		err := os.Link(s.path, filepath.Join(dir, name))
		if errors.Is(err, fs.ErrNotExist) {
			continue // deleted since it was listed
		}
		if err != nil { // hard links do not cross file systems
			err = copyFile(s.path, filepath.Join(dir, name))
		}
		if err != nil {
			return SavedIncident{}, err
		}
		m.Segments = append(m.Segments, name)
		m.Bytes += s.size
	}
	err := writeManifest(dir, &m)
	return SavedIncident{Path: dir, Segments: len(m.Segments), Bytes: m.Bytes}, err
}

func copyFile(from, to string) error {
	data, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, data, fileMode)
}

func writeManifest(dir string, m *Manifest) error {
	data, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return err
	}
	return renameio.WriteFile(filepath.Join(dir, ManifestName), append(data, '\n'), fileMode)
}

// deleteOldIncidents deletes the oldest incidents of this gateway until fewer than MaxIncidents remain.
func (w *Writer) deleteOldIncidents() error {
	entries, err := os.ReadDir(w.options.IncidentDirectory)
	if err != nil {
		return err
	}
	var incidents []string
	for _, e := range entries {
		if e.IsDir() && strings.HasPrefix(e.Name(), w.options.Gateway+"-") {
			incidents = append(incidents, filepath.Join(w.options.IncidentDirectory, e.Name()))
		}
	}
	slices.Sort(incidents) // their names differ only in their timestamps
	for len(incidents) >= w.options.MaxIncidents {
		if err := os.RemoveAll(incidents[0]); err != nil {
			return err
		}
		incidents = incidents[1:]
	}
	return nil
}

// segmentFile is a segment's entry in a directory.
type segmentFile struct {
	path       string
	size       int64
	modifiedAt time.Time
}

// listSegments returns the segments of a gateway in a directory, oldest first. It returns none if the directory cannot
// be read.
func listSegments(dir, gateway string) []segmentFile {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil
	}
	var out []segmentFile
	for _, e := range entries {
		if e.IsDir() || !strings.HasPrefix(e.Name(), gateway+"-") || !strings.HasSuffix(e.Name(), SegmentSuffix) {
			continue
		}
		if info, err := e.Info(); err == nil {
			out = append(out, segmentFile{filepath.Join(dir, e.Name()), info.Size(), info.ModTime()})
		}
	}
	slices.SortFunc(out, func(a, b segmentFile) int { return cmp.Compare(a.path, b.path) })
	return out
}

// deleteOldSegments deletes this gateway's oldest segment while the total size exceeds MaxBytes or that segment is older
// than MaxAge.
func (w *Writer) deleteOldSegments() {
	segments := listSegments(w.options.Directory, w.options.Gateway)
	var total int64
	for _, s := range segments {
		total += s.size
	}
	for _, s := range segments {
		if total <= w.options.MaxBytes && time.Since(s.modifiedAt) <= w.options.MaxAge {
			break
		}
		if err := os.Remove(s.path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			w.logFailure(err.Error(), s.path)
			return
		}
		total -= s.size
		w.Stats.DeletedSegments.Add(1)
	}
}

package lifecycle

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"archknot/internal/controlsocket"
)

const (
	// rollbackPollInterval is the pause between two checks whether a rollback has taken effect.
	rollbackPollInterval = 5 * time.Millisecond
	// defaultCaptureReason is the reason recorded for a `capture save` that gives none.
	defaultCaptureReason = "ordered"
	// rollbackReasonPrefix marks, in the history, rollbacks that an operator commanded.
	rollbackReasonPrefix = "ordered: "
)

// Errors of the commands about streamed versions. Their texts are sent to the operator's client.
var (
	errNoControlService = errors.New("no control service is set (control-service.address)")
	errNoHistory        = errors.New("no history is kept (control-service.store)")
	errRollbackPending  = errors.New("ordered, but what is in hand does not allow it yet; it is tried again each second")
)

// commands returns the handlers of the control socket by the names that the command line uses.
func (s *server) commands() map[string]controlsocket.Handler {
	return map[string]controlsocket.Handler{
		"capture/save":       s.saveCapture,
		"config/status":      s.configStatus,
		"config/history":     s.configHistory,
		"config/rollback":    s.configRollback,
		"figures":            s.controlStats,
		"contracts/accounts": s.contractAccounts,
	}
}

// SaveCaptureRequest is the request of `archknot capture save`.
type SaveCaptureRequest struct {
	Reason string `json:"reason"`
}

// SaveCaptureResponse is the response to a SaveCaptureRequest.
type SaveCaptureResponse struct {
	Path     string `json:"path"` // directory of the saved incident
	Segments int    `json:"segments"`
	Bytes    int64  `json:"bytes"`
}

func (s *server) saveCapture(ctx context.Context, text json.RawMessage) (any, error) {
	var request SaveCaptureRequest
	if err := json.Unmarshal(text, &request); err != nil {
		return nil, err
	}
	if request.Reason == "" {
		request.Reason = defaultCaptureReason
	}
	saved, err := s.gateway.SaveIncident(ctx, request.Reason)
	return SaveCaptureResponse{Path: saved.Path, Segments: saved.Segments, Bytes: saved.Bytes}, err
}

// ConfigStatus is the response to `archknot config status` and `archknot config rollback`. The counts are
// those of the version in force.
type ConfigStatus struct {
	Service   string `json:"service"` // address of the control service
	Connected bool   `json:"connected"`
	Version   uint64 `json:"version"` // 0: the files are in force
	Classes   int    `json:"classes"`
	Tenants   int    `json:"tenants"`
	Marks     int    `json:"marks"` // entries about single replicas
}

func (s *server) configStatus(context.Context, json.RawMessage) (any, error) {
	if s.configStream == nil {
		return nil, errNoControlService
	}
	status := ConfigStatus{
		Service:   s.currentSettings().ControlService.Address,
		Connected: s.configStream.Connected(),
	}
	if version := s.configStream.InForce(); version != nil {
		status.Version = uint64(version.Number)
		status.Classes = len(version.Classes)
		status.Tenants = len(version.Tenants)
		status.Marks = len(version.ReplicaMarks)
	}
	return status, nil
}

func (s *server) configHistory(context.Context, json.RawMessage) (any, error) {
	if s.versionStore == nil {
		return nil, errNoHistory
	}
	return s.versionStore.History()
}

// RollbackRequest is the request of `archknot config rollback`.
type RollbackRequest struct {
	Reason string `json:"reason"`
}

// configRollback restores the previous version, and responds once it is in force.
func (s *server) configRollback(ctx context.Context, text json.RawMessage) (any, error) {
	if s.configStream == nil {
		return nil, errNoControlService
	}
	var request RollbackRequest
	if err := json.Unmarshal(text, &request); err != nil {
		return nil, err
	}
	previous := s.configStream.InForce()
	if err := s.configStream.Rollback(ctx, rollbackReasonPrefix+request.Reason); err != nil {
		return nil, err
	}
	for s.configStream.InForce() == previous {
		select {
		case <-time.After(rollbackPollInterval):
		case <-ctx.Done():
			return nil, errRollbackPending
		}
	}
	return s.configStatus(ctx, nil)
}

func (s *server) controlStats(ctx context.Context, _ json.RawMessage) (any, error) {
	return s.gateway.Control(ctx)
}

func (s *server) contractAccounts(ctx context.Context, _ json.RawMessage) (any, error) {
	return s.gateway.Accounts(ctx)
}

package fit

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
)

// Errors returned by Read.
var (
	ErrNoCapture = errors.New("no capture to read")
	ErrNoOverlap = errors.New("the captures do not overlap in time")
)

// Recording holds the turns in the captures of one fleet's gateways.
type Recording struct {
	Turns    []Turn
	From, To balancer.Micros // interval in which all gateways were captured, as Unix times in microseconds
	Gaps     int             // number of places at which records are missing
}

// Read reads the turns of captures, one for each gateway. Turns outside the interval that all captures cover
// are left out, because a session's turns can be at any gateway. Read returns ErrNoCapture for no runs, and
// ErrNoOverlap if that interval is empty.
func Read(runs []*capture.Run) (*Recording, error) {
	if len(runs) == 0 {
		return nil, ErrNoCapture
	}
	rec := &Recording{}
	for i, run := range runs {
		from := run.WallTime(run.Begin()).UnixMicro()
		to, err := rec.read(run)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", run.Gateway, err)
		}
		if i == 0 {
			rec.From, rec.To = from, to
		}
		rec.From, rec.To = max(rec.From, from), min(rec.To, to)
	}
	if rec.To <= rec.From {
		return nil, ErrNoOverlap
	}
	rec.Turns = slices.DeleteFunc(rec.Turns, func(t Turn) bool { return t.At < rec.From || t.At > rec.To })
	return rec, nil
}

// read adds a capture's turns and returns the time of its last record.
func (rec *Recording) read(run *capture.Run) (last balancer.Micros, err error) {
	reader, err := capture.NewReader(run, run.Begin())
	if err != nil {
		return 0, err
	}
	defer reader.Close()
	turnIndexes := map[uint32]int{} // index in Turns by request, while the request is in progress
	for {
		entry, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return last, nil
		}
		if err != nil {
			return 0, err
		}
		if entry.Missing != nil {
			rec.Gaps++
			clear(turnIndexes)
			continue
		}
		at := run.WallTime(entry.At).UnixMicro()
		last = max(last, at)
		rec.add(entry.Record, at, turnIndexes)
	}
}

// add adds the arrival of a turn, or the outcome of one, from a record.
func (rec *Recording) add(record *pb.Record, at balancer.Micros, turnIndexes map[uint32]int) {
	switch record.Kind {
	case pb.Kind_KIND_ARRIVED:
		turnIndexes[record.Request] = len(rec.Turns)
		rec.Turns = append(rec.Turns, newTurn(record.Arrival, at))
	case pb.Kind_KIND_ENDED:
		i, ok := turnIndexes[record.Request]
		if !ok || !record.Outcome.GetFinal() {
			return
		}
		if balancer.Status(record.Outcome.GetStatus()) == balancer.Served {
			rec.Turns[i].EndedAt = at
			rec.Turns[i].OutputTokens = int(record.Outcome.GetTokens())
		}
		delete(turnIndexes, record.Request)
	}
}

func newTurn(arrival *pb.Arrival, at balancer.Micros) Turn {
	return Turn{
		At:           at,
		Class:        string(arrival.GetClass()),
		Tenant:       string(arrival.GetTenant()),
		Session:      arrival.GetSession(),
		Prefix:       arrival.GetPrefix(),
		PromptTokens: int(arrival.GetPromptTokens()),
		PrefixTokens: int(arrival.GetPrefixTokens()),
		MaxTokens:    int(arrival.GetMaxTokens()),
	}
}

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

// Errors of Read.
var (
	ErrNoCapture    = errors.New("no recording")
	ErrNoCommonTime = errors.New("the recordings have no time in common")
)

// Recording is the turns in the captures of one fleet's gateways.
type Recording struct {
	Turns    []Turn
	From, To balancer.Micros // Unix time in microseconds: while all gateways were captured
	Gaps     int             // places at which records are missing
}

// Read reads the turns of captures, one for each gateway. Turns outside the time that all captures have in
// common are left out, because sessions move from one gateway to another.
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
		return nil, ErrNoCommonTime
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
	open := map[uint32]int{} // index in Turns by request
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
			clear(open)
			continue
		}
		at := run.WallTime(entry.At).UnixMicro()
		last = max(last, at)
		rec.add(entry.Record, at, open)
	}
}

// add adds what a record says of a turn.
func (rec *Recording) add(record *pb.Record, at balancer.Micros, open map[uint32]int) {
	switch record.Kind {
	case pb.Kind_KIND_ARRIVED:
		open[record.Request] = len(rec.Turns)
		rec.Turns = append(rec.Turns, newTurn(record.Arrival, at))
	case pb.Kind_KIND_ENDED:
		i, ok := open[record.Request]
		if !ok || !record.Outcome.GetFinal() {
			return
		}
		if balancer.Status(record.Outcome.GetStatus()) == balancer.Served {
			rec.Turns[i].EndedAt = at
			rec.Turns[i].OutputTokens = int(record.Outcome.GetTokens())
		}
		delete(open, record.Request)
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

package fit

import (
	"errors"
	"fmt"
	"io"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
)

// Recording is what recordings of one fleet's gateways hold.
type Recording struct {
	Turns    []Turn
	From, To balancer.Micros // in Unix time: when all gateways were recorded
	Gaps     int             // places at which records are missing
}

// Read takes the turns out of recordings, one for each gateway. What was recorded
// while another was not yet, or no more, is left out: sessions go from one to another.
func Read(runs []*capture.Run) (*Recording, error) {
	if len(runs) == 0 {
		return nil, errors.New("no recording")
	}
	out := &Recording{}
	for i, run := range runs {
		from := run.WallTime(run.Begin()).UnixMicro()
		to, err := out.read(run)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", run.Gateway, err)
		}
		if i == 0 {
			out.From, out.To = from, to
		}
		out.From, out.To = max(out.From, from), min(out.To, to)
	}
	if out.To <= out.From {
		return nil, errors.New("the recordings have no time in common")
	}
	keep := out.Turns[:0]
	for _, t := range out.Turns {
		if t.At >= out.From && t.At <= out.To {
			keep = append(keep, t)
		}
	}
	out.Turns = keep
	return out, nil
}

func (o *Recording) read(run *capture.Run) (last balancer.Micros, err error) {
	r, err := capture.NewReader(run, run.Begin())
	if err != nil {
		return 0, err
	}
	defer r.Close()
	open := map[uint32]int{} // where its turn stands
	for {
		e, err := r.Next()
		if err == io.EOF {
			return last, nil
		}
		if err != nil {
			return 0, err
		}
		if e.Missing != nil {
			o.Gaps++
			clear(open)
			continue
		}
		at := run.WallTime(e.At).UnixMicro()
		last = max(last, at)
		switch rec := e.Record; rec.Kind {
		case pb.Kind_KIND_ARRIVED:
			a := rec.Arrival
			open[rec.Request] = len(o.Turns)
			o.Turns = append(o.Turns, Turn{At: at, Class: string(a.GetClass()), Tenant: string(a.GetTenant()), Session: a.GetSession(),
				Prefix: a.GetPrefix(), PromptTokens: int(a.GetPromptTokens()), PrefixTokens: int(a.GetPrefixTokens()), MaxTokens: int(a.GetMaxTokens())})
		case pb.Kind_KIND_ENDED:
			if i, ok := open[rec.Request]; ok && rec.Outcome.GetFinal() {
				if balancer.Status(rec.Outcome.GetStatus()) == balancer.Served {
					o.Turns[i].EndedAt, o.Turns[i].OutputTokens = at, int(rec.Outcome.GetTokens())
				}
				delete(open, rec.Request)
			}
		}
	}
}

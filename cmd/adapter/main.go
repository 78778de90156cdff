// Adapter hosts many instances of the decision module on the simulator's wire:
// batches of events on standard input, replies on standard output.
package main

import (
	"fmt"
	"io"
	"os"

	"archknot/choice"
	"archknot/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run serves batches until the input ends. An error names the line.
func run(in io.Reader, out io.Writer) error {
	dec, enc := wire.NewDecoder(in), wire.NewEncoder(out)
	nodes := map[int]*choice.Balancer{}
	for {
		ev, err := dec.Next()
		if err == io.EOF {
			return nil
		}
		if err == nil {
			err = apply(ev, nodes, enc)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", dec.Line(), err)
		}
	}
}

// apply hands one event to its instance.
func apply(ev *wire.Event, nodes map[int]*choice.Balancer, enc *wire.Encoder) error {
	switch ev.Kind {
	case wire.BatchEnd:
		return enc.Flush()
	case wire.Born:
		b, err := choice.New(ev.Settings, ev.Seed, enc.Sink(ev.Instance))
		if err != nil {
			return fmt.Errorf("BORN: %w", err)
		}
		nodes[ev.Instance] = b
		b.Start(ev.Now)
		return nil
	}
	b := nodes[ev.Instance]
	if b == nil {
		return fmt.Errorf("instance %d was never born or is dead", ev.Instance)
	}
	switch ev.Kind {
	case wire.Killed:
		delete(nodes, ev.Instance)
	case wire.List:
		b.ListChanged(ev.Now, ev.List)
	case wire.Arrived:
		b.RequestArrived(ev.Now, ev.Request)
	case wire.Timer:
		b.TimerFired(ev.Now, ev.Token)
	case wire.Probed:
		b.ProbeEnded(ev.Now, ev.Outcome)
	case wire.Returned:
		b.AttemptEnded(ev.Now, ev.Outcome)
	case wire.Lapsed:
		b.ClientGone(ev.Now, ev.Outcome.ID)
	case wire.Opened:
		b.FirstToken(ev.Now, ev.Outcome)
	case wire.Message:
		b.PeerMessage(ev.Now, ev.From, ev.Body)
	}
	return nil
}

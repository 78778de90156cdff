// Control is a stand-in control service on a loopback address: it reads a script
// of versions, one word a line, and publishes them.
package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"google.golang.org/protobuf/proto"

	"archknot/internal/configversion"
	pb "archknot/internal/configversion/configpb"
	"archknot/internal/fakes/controlservice"
)

var args struct {
	Addr  string `default:"127.0.0.1:18000" help:"Where to listen: a loopback address."`
	Class string `default:"chat" help:"The class that the versions have."`
}

const words = `good N            a good version
bad N             four attempts: refused by itself
truncated N       its class comes cut off
step N            good alone, but takes the class out: refused while requests are in hand
vanish N          the stream ends after the first message of it
slow N            half a second between two messages
flood N COUNT     COUNT versions from N on, at once
nonce N           all its messages have one nonce
staged N PERCENT  that many gateways first, a hold of 10 s
drain N WORKER    with a mark that drains the worker
down SECONDS      the service is gone for so long
wait SECONDS      nothing`

func main() {
	kong.Parse(&args, kong.Description("A stand-in control service. It reads a script from standard input:\n\n"+words+"\n\nExample:\n  printf 'good 1\\nwait 2\\nbad 2\\n' | control"))
	s, err := controlservice.Start(args.Addr, nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, "control:", err)
		os.Exit(2)
	}
	fmt.Printf("listening on %s\n", s.Addr())
	go tell(s)
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		f := strings.Fields(in.Text())
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		if err := do(s, f); err != nil {
			fmt.Fprintf(os.Stderr, "control: %s: %v\n", in.Text(), err)
		}
	}
	select {} // until it is ended
}

// tell prints what gateways answer.
func tell(s *controlservice.Service) {
	for n := 0; ; time.Sleep(50 * time.Millisecond) {
		all := s.Acks()
		for ; n < len(all); n++ {
			a := all[n]
			if a.Error == "" {
				fmt.Printf("%s acknowledges %s %s\n", a.Gateway, a.Type, a.Version)
			} else {
				fmt.Printf("%s refuses %s: %s\n", a.Gateway, a.Type, a.Error)
			}
		}
		n = min(n, len(all))
	}
}

func version(n uint64, class string) *controlservice.Version {
	return &controlservice.Version{Number: n, Resources: map[configversion.ResourceType][]proto.Message{
		configversion.TypeClass:    {&pb.Class{Name: class, AimUs: 1_000_000, TokenAimUs: 300_000, DeadlineUs: 3_000_000, Worth: 2, LateWorth: 0.3, Stream: true}},
		configversion.TypeAttempts: {&pb.Attempts{Most: 3, SecondCopies: true}},
	}}
}

func do(s *controlservice.Service, f []string) error {
	if f[0] == "help" {
		fmt.Println(words)
		return nil
	}
	if len(f) < 2 {
		return fmt.Errorf("expected a number behind it; `help` lists the words")
	}
	n, err := strconv.ParseUint(f[1], 10, 32)
	if err != nil {
		return err
	}
	third := func() (int, error) {
		if len(f) < 3 {
			return 0, fmt.Errorf("expected one more word")
		}
		return strconv.Atoi(f[2])
	}
	v := version(n, args.Class)
	switch f[0] {
	case "good":
	case "bad":
		v.Resources[configversion.TypeAttempts] = []proto.Message{&pb.Attempts{Most: 4}}
	case "truncated":
		v.Truncate = configversion.TypeClass
	case "step":
		v = version(n, "other")
	case "vanish":
		v.CloseAfter = 1
	case "slow":
		v.Delay = 500 * time.Millisecond
	case "nonce":
		v.RepeatNonce = true
	case "flood":
		count, err := third()
		if err != nil || count < 1 || count > 10_000 {
			return fmt.Errorf("expected 1 to 10000 versions")
		}
		for i := range uint64(count) {
			s.Publish(version(n+i, args.Class))
		}
		return nil
	case "staged":
		percent, err := third()
		if err != nil || percent < 0 || percent > 100 {
			return fmt.Errorf("expected 0 to 100 percent")
		}
		v.FirstPercent, v.Hold, v.MaxRegression = uint32(percent), 10*time.Second, 0.1
	case "drain":
		if len(f) < 3 {
			return fmt.Errorf("expected a worker's name")
		}
		v.Resources[configversion.TypeReplica] = []proto.Message{&pb.Worker{Name: f[2], Mark: pb.Worker_DRAIN}}
	case "down":
		s.Stop()
		time.Sleep(time.Duration(n) * time.Second)
		return s.Restart()
	case "wait":
		time.Sleep(time.Duration(n) * time.Second)
		return nil
	default:
		return fmt.Errorf("no such word; `help` lists them")
	}
	s.Publish(v)
	return nil
}

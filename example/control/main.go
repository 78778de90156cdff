// Command control is a fake control service on a loopback address. It reads commands from standard input, one per
// line, and publishes a configuration version or interrupts the service for each.
package main

import (
	"bufio"
	"errors"
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

var flags struct {
	Addr  string `default:"127.0.0.1:18000" help:"Where to listen: a loopback address."`
	Class string `default:"chat" help:"The class that the versions have."`
}

// usage describes the commands on standard input.
const usage = `good N            a good version
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
	kong.Parse(&flags, kong.Description("A stand-in control service. It reads a script from standard input:\n\n"+usage+"\n\nExample:\n  printf 'good 1\\nwait 2\\nbad 2\\n' | control"))
	s, err := controlservice.Start(flags.Addr, nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, "control:", err)
		os.Exit(2)
	}
	fmt.Printf("listening on %s\n", s.Addr())
	go printAcks(s)
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		f := strings.Fields(in.Text())
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		if err := execute(s, f); err != nil {
			fmt.Fprintf(os.Stderr, "control: %s: %v\n", in.Text(), err)
		}
	}
	select {} // serve until the process is killed
}

// ackPollInterval is the interval at which printAcks checks for new answers.
const ackPollInterval = 50 * time.Millisecond

// printAcks prints the gateways' acknowledgements and rejections of versions.
func printAcks(s *controlservice.Service) {
	for printed := 0; ; time.Sleep(ackPollInterval) {
		acks := s.Acks()
		for ; printed < len(acks); printed++ {
			ack := acks[printed]
			if ack.Error == "" {
				fmt.Printf("%s acknowledges %s %s\n", ack.Gateway, ack.Type, ack.Version)
			} else {
				fmt.Printf("%s refuses %s: %s\n", ack.Gateway, ack.Type, ack.Error)
			}
		}
		printed = min(printed, len(acks)) // the service has discarded old answers
	}
}

// newVersion returns a valid version that defines one class.
func newVersion(n uint64, class string) *controlservice.Version {
	return &controlservice.Version{Number: n, Resources: map[configversion.ResourceType][]proto.Message{
		configversion.TypeClass:    {&pb.Class{Name: class, AimUs: 1_000_000, TokenAimUs: 300_000, DeadlineUs: 3_000_000, Worth: 2, LateWorth: 0.3, Stream: true}},
		configversion.TypeAttempts: {&pb.Attempts{Most: 3, SecondCopies: true}},
	}}
}

// execute executes a command: its name, followed by its arguments.
func execute(s *controlservice.Service, command []string) error {
	name := command[0]
	if name == "help" {
		fmt.Println(usage)
		return nil
	}
	if len(command) < 2 {
		return errors.New("missing number after the command; `help` lists the commands")
	}
	n, err := strconv.ParseUint(command[1], 10, 32)
	if err != nil {
		return err
	}
	switch name {
	case "flood":
		return flood(s, n, command[2:])
	case "down":
		s.Stop()
		time.Sleep(time.Duration(n) * time.Second)
		return s.Restart()
	case "wait":
		time.Sleep(time.Duration(n) * time.Second)
		return nil
	}
	version, err := commandVersion(name, n, command[2:])
	if err != nil {
		return err
	}
	s.Publish(version)
	return nil
}

// commandVersion returns the version that a command publishes.
func commandVersion(name string, n uint64, args []string) (*controlservice.Version, error) {
	v := newVersion(n, flags.Class)
	switch name {
	case "good":
	case "bad":
		v.Resources[configversion.TypeAttempts] = []proto.Message{&pb.Attempts{Most: 4}}
	case "truncated":
		v.Truncate = configversion.TypeClass
	case "step":
		v = newVersion(n, "other")
	case "vanish":
		v.CloseAfter = 1
	case "slow":
		v.Delay = 500 * time.Millisecond
	case "nonce":
		v.RepeatNonce = true
	case "staged":
		percent, err := intArg(args)
		if err != nil || percent < 0 || percent > 100 {
			return nil, errors.New("invalid percentage: expected 0 to 100")
		}
		v.FirstPercent, v.Hold, v.MaxRegression = uint32(percent), 10*time.Second, 0.1
	case "drain":
		if len(args) < 1 {
			return nil, errors.New("missing replica name")
		}
		v.Resources[configversion.TypeReplica] = []proto.Message{&pb.Worker{Name: args[0], Mark: pb.Worker_DRAIN}}
	default:
		return nil, errors.New("unknown command; `help` lists the commands")
	}
	return v, nil
}

// flood publishes many versions at once.
func flood(s *controlservice.Service, first uint64, args []string) error {
	count, err := intArg(args)
	if err != nil || count < 1 || count > 10_000 {
		return errors.New("invalid number of versions: expected 1 to 10000")
	}
	for i := range uint64(count) {
		s.Publish(newVersion(first+i, flags.Class))
	}
	return nil
}

// intArg returns the first argument after a command's number, as an integer.
func intArg(args []string) (int, error) {
	if len(args) < 1 {
		return 0, errors.New("missing argument")
	}
	return strconv.Atoi(args[0])
}

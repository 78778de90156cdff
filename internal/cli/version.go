package cli

import (
	"context"
	"errors"
	"fmt"
	"text/tabwriter"

	"archknot/internal/config"
	"archknot/internal/controlsocket"
	"archknot/internal/lifecycle"
	"archknot/internal/xdsclient"
)

// socketFlags are the flags that locate the control socket of a running gateway.
type socketFlags struct {
	Socket string `placeholder:"PATH" help:"The gateway's control socket; by default that of the settings."`
	Config string `env:"ARCHKNOT_CONF" placeholder:"FILE" help:"The gateway's settings file, for the path of the socket."`
}

// call sends a command to the gateway and decodes its response. If the gateway cannot execute the command, call prints
// the gateway's error and returns errNegative.
func (f *socketFlags) call(s *streams, name string, request, response any) error {
	path := f.Socket
	if path == "" {
		got, err := config.Load(f.Config)
		if err != nil {
			return err
		}
		if path = got.Control.Socket; path == "" {
			return errors.New("no socket: name it by --socket, or by control.socket in the settings")
		}
	}
	err := controlsocket.Call(context.Background(), path, name, request, response)
	var commandErr controlsocket.CommandError
	if errors.As(err, &commandErr) {
		fmt.Fprintf(s.err, "archknot: the gateway cannot: %v\n", commandErr)
		return errNegative
	}
	if err != nil {
		return fmt.Errorf("no gateway answers at %s: %w", path, err)
	}
	return nil
}

type statusCmd struct {
	socketFlags
	JSON bool `name:"json" help:"Print JSON."`
}

func (statusCmd) Help() string {
	return "Exit code 1: the gateway has no control service.\n\nExample:\n  archknot config status --config deploy/archknot.conf"
}

func (c *statusCmd) Run(s *streams) error {
	var a lifecycle.ConfigStatus
	if err := c.call(s, "config/status", struct{}{}, &a); err != nil {
		return err
	}
	return s.printStatus(a, c.JSON)
}

// printStatus prints the status of the configuration that the control service streams.
func (s *streams) printStatus(a lifecycle.ConfigStatus, asJSON bool) error {
	if asJSON {
		return s.printJSON(a)
	}
	from := fmt.Sprint("version ", a.Version)
	if a.Version == 0 {
		from = "the files"
	}
	fmt.Fprintf(s.out, "service=%s connected=%t in_force=%q classes=%d tenants=%d marks=%d\n", a.Service, a.Connected, from, a.Classes, a.Tenants, a.Marks)
	return nil
}

type historyCmd struct {
	socketFlags
	JSON bool `name:"json" help:"Print JSON."`
}

func (historyCmd) Help() string {
	return "The events of each version that arrived, the oldest first: taken, refused, waits, proved, givenback, passed.\n\n" +
		"Example:\n  archknot config history --config deploy/archknot.conf"
}

func (c *historyCmd) Run(s *streams) error {
	var list []xdsclient.HistoryEntry
	if err := c.call(s, "config/history", struct{}{}, &list); err != nil {
		return err
	}
	if c.JSON {
		return s.printJSON(list)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, l := range list {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", l.At.Format("2006-01-02T15:04:05.000Z"), l.Version, l.Event, l.Reason)
	}
	return w.Flush()
}

type rollbackCmd struct {
	socketFlags
	Reason string `default:"ordered" help:"The reason, for the history and the control service."`
	JSON   bool   `name:"json" help:"Print JSON."`
}

func (rollbackCmd) Help() string {
	return "The version in force is rejected to the control service, and not applied again.\n" +
		"Exit code 1: there is none, or requests in flight do not allow it yet.\n\n" +
		"Example:\n  archknot config rollback --config deploy/archknot.conf --reason 'chat is late since ten'"
}

func (c *rollbackCmd) Run(s *streams) error {
	var a lifecycle.ConfigStatus
	if err := c.call(s, "config/rollback", lifecycle.RollbackRequest{Reason: c.Reason}, &a); err != nil {
		return err
	}
	return s.printStatus(a, c.JSON)
}

// settingDifference is a setting whose values differ between two files.
type settingDifference struct {
	Key   string `json:"key"`
	One   string `json:"one"`
	Other string `json:"other"`
}

type diffCmd struct {
	One   string `arg:"" help:"A settings file."`
	Other string `arg:"" optional:"" help:"Another settings file; by default the default settings."`
	JSON  bool   `name:"json" help:"Print JSON."`
}

func (diffCmd) Help() string {
	return "Exit code 0: the settings are the same; 1: they differ.\n\nExample:\n  archknot config diff deploy/archknot.conf"
}

func (c *diffCmd) Run(s *streams) error {
	first, err := config.Load(c.One)
	if err != nil {
		return err
	}
	second, err := config.Load(c.Other)
	if err != nil {
		return err
	}
	differences := []settingDifference{}
	secondSettings := second.Settings()
	for i, setting := range first.Settings() {
		if other := secondSettings[i]; setting.Value != other.Value {
			differences = append(differences, settingDifference{setting.Section + "." + setting.Key, setting.Value, other.Value})
		}
	}
	if c.JSON {
		if err := s.printJSON(differences); err != nil {
			return err
		}
	} else {
		for _, d := range differences {
			fmt.Fprintf(s.out, "%s: %q, %q\n", d.Key, d.One, d.Other)
		}
	}
	if len(differences) > 0 {
		return errNegative
	}
	return nil
}

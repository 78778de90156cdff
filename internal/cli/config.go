package cli

import (
	"errors"
	"fmt"

	"archknot/internal/config"
)

type configCmd struct {
	Check checkCmd `cmd:"" help:"Check a settings file and report all errors in it."`
	Show  showCmd  `cmd:"" help:"Show all settings with their values, in the format of a settings file."`
	Diff  diffCmd  `cmd:"" help:"Show the differences between two settings files."`

	Status   statusCmd   `cmd:"" help:"Show which streamed version is in force at a running gateway."`
	History  historyCmd  `cmd:"" help:"Show the history of the streamed versions of a running gateway."`
	Rollback rollbackCmd `cmd:"" help:"Roll a running gateway back to the previous version."`
}

type checkCmd struct {
	File string `arg:"" help:"The file, such as deploy/archknot.conf."`
	JSON bool   `name:"json" help:"Print JSON."`
}

func (checkCmd) Help() string {
	return "Exit code 0: the file is valid; 1: it is not.\n\nExample:\n  archknot config check deploy/archknot.conf"
}

func (c *checkCmd) Run(s *streams) error {
	_, err := config.Load(c.File)
	var problems config.SettingErrors
	if err != nil && !errors.As(err, &problems) {
		return err
	}
	if c.JSON {
		list := []map[string]any{}
		for _, p := range problems {
			list = append(list, map[string]any{"file": p.File, "line": p.Line, "column": p.Column, "key": p.Key, "what": p.Message})
		}
		if err := s.printJSON(map[string]any{"good": err == nil, "problems": list}); err != nil {
			return err
		}
	} else if err != nil {
		fmt.Fprintln(s.out, err)
	} else {
		fmt.Fprintf(s.out, "%s: good\n", c.File)
	}
	if err != nil {
		return errNegative
	}
	return nil
}

type showCmd struct {
	File string `arg:"" optional:"" help:"The file; by default the default settings."`
	Docs bool   `help:"Include a description of each setting."`
	JSON bool   `name:"json" help:"Print JSON."`
}

func (showCmd) Help() string {
	return "Example:\n  archknot config show --docs > archknot.conf"
}

func (c *showCmd) Run(s *streams) error {
	got, err := config.Load(c.File)
	if err != nil {
		return err
	}
	if c.JSON {
		return s.printJSON(got.Settings())
	}
	fmt.Fprint(s.out, got.Text(c.Docs))
	return nil
}

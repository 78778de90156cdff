package cli

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dustin/go-humanize"

	"archknot/balancer"
	"archknot/internal/capture"
	"archknot/internal/config"
	"archknot/internal/contract"
	"archknot/internal/contractsim"
	"archknot/internal/contractsim/report"
)

type contractsCmd struct {
	List     listContractsCmd `cmd:"" help:"List the contracts of a settings file, or those of a running gateway with its ledger."`
	Show     showContractCmd  `cmd:"" help:"Show one team's contract, or its ledger account at a running gateway."`
	Simulate simulateCmd      `cmd:"" help:"Simulate contracts on the requests of a capture."`
	Report   reportCmd        `cmd:"" help:"Write the results of a simulation as an HTML page with charts and a table."`
}

// loadAccounts returns the ledger accounts of a running gateway.
func (f *socketFlags) loadAccounts(s *streams) (list []contract.AccountStatus, err error) {
	err = f.call(s, "contracts/accounts", struct{}{}, &list)
	return list, err
}

type listContractsCmd struct {
	socketFlags
	File string `arg:"" optional:"" help:"A settings file; by default a running gateway is asked."`
	JSON bool   `name:"json" help:"Print JSON."`
}

func (listContractsCmd) Help() string {
	return "Examples:\n  archknot contracts list deploy/archknot.conf\n  archknot contracts list --socket /run/archknot.sock"
}

// formatTokens formats units as whole tokens with thousands separators.
func formatTokens(u contract.Units) string { return humanize.Comma(u / contract.Token) }

func (c *listContractsCmd) Run(s *streams) error {
	if c.File == "" {
		list, err := c.loadAccounts(s)
		if err != nil {
			return err
		}
		if c.JSON {
			return s.printJSON(list)
		}
		return s.printAccounts(list)
	}
	got, err := config.Load(c.File)
	if err != nil {
		return err
	}
	if c.JSON {
		return s.printJSON(got.Contracts.Teams)
	}
	w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "team\trate/s\tburst\tweight\tover\thard\ttenants\tbudgets\tfrom\tuntil\t")
	for _, t := range got.Contracts.Teams {
		var budgets []string
		for _, g := range t.Budgets {
			budgets = append(budgets, fmt.Sprintf("%s %s/%s", g.Period, formatTokens(g.Soft), formatTokens(g.Hard)))
		}
		weight := cmp.Or(t.PriorityWeight, 1)
		fmt.Fprintf(w, "%s\t%s\t%s\t%g\t%g\t%v\t%d\t%s\t%s\t%s\t\n", t.Team, formatTokens(contract.Units(t.Rate)), formatTokens(t.Burst), weight, t.OverQuotaWeight, t.Hard,
			len(t.Tenants), strings.Join(budgets, ", "), formatDay(t.From), formatDay(t.Until))
	}
	return w.Flush()
}

// formatDay formats a Unix time in microseconds as a date in UTC; 0 as "-".
func formatDay(unix balancer.Micros) string {
	if unix == 0 {
		return "-"
	}
	return time.UnixMicro(unix).UTC().Format(time.DateOnly)
}

// printAccounts prints ledger accounts as a table.
func (s *streams) printAccounts(list []contract.AccountStatus) error {
	w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "team\tvalid\tshare\tlevel\topen\tadmitted\tover\trejected\tused\tborrowed\tbudgets\t")
	for _, a := range list {
		var budgets []string
		for p, limit := range a.Limit {
			if limit > 0 {
				budgets = append(budgets, fmt.Sprintf("%s %.1f%%", contract.Period(p), 100*float64(a.Used[p])/float64(limit)))
			}
		}
		fmt.Fprintf(w, "%s\t%v\t%.3f\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", a.Team, a.InForce, a.QuotaShare, formatTokens(a.Level), a.OpenCharges, a.Counters.Admitted, a.Counters.OverQuota,
			a.Counters.Rejected, formatTokens(a.Counters.Used), formatTokens(a.Counters.Borrowed), strings.Join(budgets, ", "))
	}
	return w.Flush()
}

type showContractCmd struct {
	socketFlags
	Team string `arg:"" help:"The team."`
	File string `arg:"" optional:"" help:"A settings file; by default a running gateway is asked."`
	JSON bool   `name:"json" help:"Print JSON."`
}

func (showContractCmd) Help() string {
	return "Exit code 1: there is no contract of that name.\n\nExamples:\n  archknot contracts show advice deploy/archknot.conf\n" +
		"  archknot contracts show advice --socket /run/archknot.sock"
}

func (c *showContractCmd) Run(s *streams) error {
	notFound := func() error {
		fmt.Fprintf(s.err, "archknot: no contract %q\n", c.Team)
		return errNegative
	}
	if c.File == "" {
		list, err := c.loadAccounts(s)
		if err != nil {
			return err
		}
		i := slices.IndexFunc(list, func(a contract.AccountStatus) bool { return a.Team == c.Team })
		switch {
		case i < 0:
			return notFound()
		case c.JSON:
			return s.printJSON(list[i])
		}
		return s.printAccounts(list[i : i+1])
	}
	got, err := config.Load(c.File)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(got.Contracts.Teams, func(t contract.Terms) bool { return t.Team == c.Team })
	switch {
	case i < 0:
		return notFound()
	case c.JSON:
		return s.printJSON(got.Contracts.Teams[i])
	}
	fmt.Fprint(s.out, strings.TrimPrefix(config.FormatContract(&got.Contracts.Teams[i]), "\n"))
	return nil
}

// simulationFlags are the flags of commands that simulate contracts.
type simulationFlags struct {
	timeSpan
	Paths  []string `arg:"" help:"Segments of a capture, or directories of segments."`
	Config string   `required:"" env:"ARCHKNOT_CONF" placeholder:"FILE" help:"The settings file with the contracts."`
}

// simulate simulates the contracts on each run of the captures. points is the length of each time series.
func (f *simulationFlags) simulate(s *streams, points int) ([]*contractsim.Result, error) {
	got, err := config.Load(f.Config)
	if err != nil {
		return nil, err
	}
	if len(got.Contracts.Teams) == 0 {
		return nil, fmt.Errorf("%s: the settings have no contracts", f.Config)
	}
	runs, err := capture.FindRuns(f.Paths...)
	if err != nil {
		return nil, err
	}
	var out []*contractsim.Result
	for _, r := range runs {
		from, to, err := f.within(r)
		if err != nil {
			return nil, err
		}
		o := contractsim.Options{Settings: got.Contracts.LedgerSettings(), Terms: got.Contracts.Teams, From: from, To: to, SeriesPoints: points, Progress: replayProgress(s, r)}
		o.Settings.ReserveFraction, o.Settings.Strict = 0, false // a simulation has no store
		res, err := contractsim.Run(r, o)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", r.Name, err)
		}
		out = append(out, res)
	}
	if len(out) == 0 {
		return nil, errors.New("no capture")
	}
	return out, nil
}

type simulateCmd struct {
	simulationFlags
	JSON bool `name:"json" help:"Print JSON."`
}

func (simulateCmd) Help() string {
	return "Prices, rates and budgets are those of the settings; the decisions about the requests stay as recorded.\n" +
		"Each recording starts with full bursts and unused budgets.\n\n" +
		"Example:\n  archknot contracts simulate /var/lib/archknot/capture --config new.conf --from -10m"
}

func (c *simulateCmd) Run(s *streams) error {
	list, err := c.simulate(s, 0)
	if err != nil {
		return err
	}
	if c.JSON {
		return s.printJSON(list)
	}
	for i, r := range list {
		if i > 0 {
			fmt.Fprintln(s.out)
		}
		fmt.Fprintf(s.out, "%s from %s to %s", r.Gateway, r.From.Format(time.RFC3339), r.To.Format(time.RFC3339))
		if r.Gaps > 0 {
			fmt.Fprintf(s.out, ", %d gaps", r.Gaps)
		}
		fmt.Fprintln(s.out)
		w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(w, "team\trequests\tadmitted\tover\trejected\tserved though rejected\trequested\tused\tof the rate\tborrowed\textra attempts\tnot sent\t")
		for _, t := range r.Teams {
			name := t.Team
			if name == "" {
				name = "(no contract)"
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%d\t%s\t%s\t%.1f%%\t%s\t%d\t%d\t\n", name, t.Requests, t.Admitted, t.OverQuota, formatReasons(t.Rejected), t.ServedThoughRejected,
				humanize.Comma(int64(t.Requested)), humanize.Comma(int64(t.Used)), 100*t.RateShare, humanize.Comma(int64(t.Borrowed)), t.ExtraAttempts, t.ExtraAttemptsRejected)
		}
		w.Flush()
		for _, n := range r.Notices {
			fmt.Fprintf(s.out, "%s %s: %d%% of the budget by %s\n", n.At.Format(time.RFC3339), n.Team, n.Percent, n.Period)
		}
	}
	return nil
}

// formatReasons formats counts by reason on one line.
func formatReasons(m map[string]int64) string {
	if len(m) == 0 {
		return "0"
	}
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%d %s", m[k], k))
	}
	return strings.Join(out, ", ")
}

type reportCmd struct {
	simulationFlags
	Out string `required:"" placeholder:"FILE" help:"The file of the page."`
}

func (reportCmd) Help() string {
	return "The page is self-contained: it includes its charts.\n\n" +
		"Example:\n  archknot contracts report /var/lib/archknot/capture --config deploy/archknot.conf --out contracts.html"
}

func (c *reportCmd) Run(s *streams) error {
	list, err := c.simulate(s, 0)
	if err != nil {
		return err
	}
	if err := writeFileAtomically(c.Out, func(w io.Writer) error { return report.Write(w, list) }); err != nil {
		return err
	}
	fmt.Fprintln(s.out, c.Out)
	return nil
}

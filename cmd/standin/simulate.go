package main

import (
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/burdockpitch/burdockpitch/internal/simulation"
)

func newSimulateCmd() *cobra.Command {
	var selections []string
	var seed uint64
	var stretch time.Duration
	cmd := &cobra.Command{
		Use: "simulate [FILE...]", Short: "Play load patterns through the decisions of a whole fleet",
		Long: "Plays load patterns through the decisions of a whole fleet, without processes or connections, and prints what\n" +
			"callers get. Without files it plays the patterns that the tests use.",
		Example: "  standin simulate --stretch 5s\n  standin simulate burst.toml --selections ask,load",
		RunE: func(cmd *cobra.Command, files []string) error {
			patterns, err := loadPatterns(files)
			if err != nil {
				return err
			}
			if stretch <= 0 {
				return eris.Errorf("--stretch %s: want a time above 0", stretch)
			}
			unmet := 0
			for _, p := range patterns {
				n, err := playPattern(cmd, p, selections, seed, stretch)
				if err != nil {
					return err
				}
				unmet += n
			}
			if unmet > 0 {
				return eris.Errorf("%d expectations are not met", unmet)
			}
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&selections, "selections", nil, "selection methods to compare, in place of the options of the pattern")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the random draws")
	cmd.Flags().DurationVar(&stretch, "stretch", 5*time.Second, "time that a row of the table covers")
	return cmd
}

// loadPatterns reads the patterns of the given files, or the built-in ones without files.
func loadPatterns(files []string) ([]*simulation.Pattern, error) {
	if len(files) == 0 {
		return simulation.Patterns()
	}
	var list []*simulation.Pattern
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, eris.Wrap(err, "read pattern")
		}
		p, err := simulation.Parse(file, text)
		if err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	return list, nil
}

// playPattern prints the result of a pattern and returns the number of unmet expectations. With selections it prints one
// result for each and checks nothing.
func playPattern(cmd *cobra.Command, p *simulation.Pattern, selections []string, seed uint64, stretch time.Duration) (unmet int, err error) {
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "## %s\n\n%s. Guards against: %s.\n\n", p.Name, p.Answers, p.Guards)
	for _, selection := range selections {
		options := p.Options
		options.Selection = selection
		if err := options.Check(); err != nil {
			return 0, err
		}
		fmt.Fprintf(out, "Selection %s:\n\n", selection)
		if err := simulation.Run(p, options, seed).WriteTable(out, stretch); err != nil {
			return 0, err
		}
		fmt.Fprintln(out)
	}
	if len(selections) > 0 {
		return 0, nil
	}
	result := simulation.Run(p, p.Options, seed)
	var baseline *simulation.Result
	if p.Baseline != nil {
		baseline = simulation.Run(p, *p.Baseline, seed)
	}
	if err := result.WriteTable(out, stretch); err != nil {
		return 0, err
	}
	fmt.Fprintln(out)
	list := simulation.Check(p, result, baseline)
	for _, text := range list {
		fmt.Fprintf(out, "not met: %s\n", text)
	}
	return len(list), nil
}

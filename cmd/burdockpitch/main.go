// Command burdockpitch is the load balancer daemon and its operator tool.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/burdockpitch/burdockpitch/pkg/app"
	"github.com/burdockpitch/burdockpitch/pkg/cli"
	"github.com/burdockpitch/burdockpitch/pkg/settings"
	"github.com/burdockpitch/burdockpitch/platform"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1 // findings, or an error of a command that was called correctly
	exitUsage   = 2
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// platformAdapter is the value of the settings key "adapter" that selects the users' platform; see package platform.
const platformAdapter = "platform"

// adapters maps values of the settings key "adapter" to platforms. The empty value selects the project's own protocols.
var adapters = map[string]app.Adapter{"": {}, platformAdapter: platform.Adapter()}

// commandError marks an error of a command that was called correctly. All other errors are usage errors.
type commandError struct{ error }

// run executes the command line args and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRootCmd()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	var cmdErr commandError
	switch {
	case err == nil:
		return exitOK
	case !errors.As(err, &cmdErr):
		fmt.Fprintf(stderr, "burdockpitch: %s\nSee \"burdockpitch help\".\n", err)
		return exitUsage
	case !errors.Is(cmdErr.error, cli.ErrFindings):
		fmt.Fprintln(stderr, "burdockpitch:", err)
	}
	return exitFailure
}

func newRootCmd() *cobra.Command {
	root := &cobra.Command{
		Use:   "burdockpitch",
		Short: "Load balancer for servers whose load changes within milliseconds",
		Long: `Load balancer for servers whose load changes within milliseconds.

Exit codes: 0 success, 1 findings or a failure, 2 wrong usage.`,
		SilenceUsage:      true,
		SilenceErrors:     true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.AddCommand(newServeCmd(), newCheckCmd(), newExplainCmd(), newStatusCmd(), newTraceCmd(), newVersionCmd())
	return root
}

// runE returns a function for cobra.Command.RunE that wraps the errors of f in commandError.
func runE(f func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := f(cmd, args); err != nil {
			return commandError{err}
		}
		return nil
	}
}

func newServeCmd() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run an instance until SIGTERM",
		Long: `Run an instance of the load balancer. SIGHUP reloads the settings and applies changed addresses of peers. SIGTERM or
SIGINT starts a graceful stop: readiness fails, requests in flight are finished, and the process exits with 0. The log
goes to standard output as JSON lines.`,
		Example: "  burdockpitch serve --settings instance.toml",
		Args:    cobra.NoArgs,
		RunE: runE(func(cmd *cobra.Command, _ []string) error {
			cfg, err := settings.Load(file)
			if err != nil {
				return err
			}
			adapter, ok := adapters[cfg.Adapter]
			if !ok {
				return fmt.Errorf("%s: unknown adapter %q (want none or %q)", file, cfg.Adapter, platformAdapter)
			}
			return app.Run(cmd.Context(), cfg, adapter, func() (settings.Settings, error) { return settings.Load(file) })
		}),
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file (TOML)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func newCheckCmd() *cobra.Command {
	var opts cli.CheckOptions
	cmd := &cobra.Command{
		Use:   "check [--settings FILE] [--rules FILE...]",
		Short: "Check settings and rules and print all findings",
		Long: `Check settings and rules, each file by itself and in combination. Every finding is printed with file, line, column and
the expected value. The exit code is 1 if there are findings.`,
		Example: "  burdockpitch check --settings instance.toml --rules registry.toml --rules archive.toml",
		Args:    cobra.ArbitraryArgs,
		PreRunE: func(_ *cobra.Command, args []string) error {
			opts.RulesFiles = append(opts.RulesFiles, args...)
			if opts.SettingsFile == "" && len(opts.RulesFiles) == 0 {
				return errors.New("check needs --settings or --rules")
			}
			return nil
		},
		RunE: runE(func(cmd *cobra.Command, _ []string) error { return cli.Check(cmd.OutOrStdout(), opts) }),
	}
	cmd.Flags().StringVar(&opts.SettingsFile, "settings", "", "settings file (TOML)")
	cmd.Flags().StringArrayVar(&opts.RulesFiles, "rules", nil, "rules file; repeat for several, or list further files as arguments")
	cmd.Flags().BoolVar(&opts.AsJSON, "json", false, "print JSON")
	return cmd
}

func newExplainCmd() *cobra.Command {
	var files []string
	cmd := &cobra.Command{
		Use:   "explain --rules FILE... METHOD URL",
		Short: "Print which rule applies to a request, and why the others do not",
		Long: `Print which rule applies to a request, the class and the deadline of the rule, and who requested the rule. Also print
why the other rules with a matching path do not apply. The exit code is 1 if no rule applies.`,
		Example: "  burdockpitch explain --rules registry.toml --rules archive.toml POST http://registre.example/bookings/7",
		Args:    cobra.MinimumNArgs(2),
		RunE: runE(func(cmd *cobra.Command, args []string) error {
			request := args[len(args)-2:]
			allFiles := append(files, args[:len(args)-2]...)
			return cli.Explain(cmd.OutOrStdout(), allFiles, request[0], request[1])
		}),
	}
	cmd.Flags().StringArrayVar(&files, "rules", nil, "rules file; repeat for several, or list further files before METHOD")
	_ = cmd.MarkFlagRequired("rules")
	return cmd
}

func newStatusCmd() *cobra.Command {
	var adminAddr string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "status [--admin ADDR]",
		Short: "Print configuration, targets, instances and budgets of a running instance",
		Long: `Print the state of a running instance: the configuration in force, the last refused documents with their findings,
each target with its state and the reason for it, the other instances, and the use of the budgets.`,
		Example: "  burdockpitch status --admin 127.0.0.1:9900",
		Args:    cobra.NoArgs,
		RunE: runE(func(cmd *cobra.Command, _ []string) error {
			return cli.Status(cmd.Context(), cmd.OutOrStdout(), adminAddr, asJSON)
		}),
	}
	cmd.Flags().StringVar(&adminAddr, "admin", settings.Default().AdminListen, "address of the administration API")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func newTraceCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "trace REQUEST-ID",
		Short: "Print the log lines of one request from standard input",
		Long: `Read log lines of any number of instances from standard input and print those of one request, sorted by time: each
attempt with the reason for the choice of its target and its outcome, and the response to the caller. The exit code is 1
if no line has the request ID.`,
		Example: "  cat instance-*.log | burdockpitch trace 9c41d07be2a35f68",
		Args:    cobra.ExactArgs(1),
		RunE: runE(func(cmd *cobra.Command, args []string) error {
			return cli.Trace(cmd.OutOrStdout(), cmd.InOrStdin(), args[0])
		}),
	}
}

func newVersionCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  burdockpitch version",
		Args:    cobra.NoArgs,
		RunE: runE(func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), cli.Version())
			return err
		}),
	}
}

// Command standin runs the stand-ins that tests, the demo and measurements use in place of external systems, and runs
// the demo and the measurements.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/burdockpitch/burdockpitch/internal/standin"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	root := &cobra.Command{Use: "standin", Short: "Stand-ins for tests and measurements", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newPlatformCmd(), newTargetCmd(), newStoreCmd(), newServerCmd(), newLoadCmd(), newDemoCmd(), newMeasureCmd(), newFleetCmd(), newCapacityCmd(), newSimulateCmd())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func newPlatformCmd() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use: "platform", Short: "Stand-in for the configuration service and the instance list", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, standin.NewPlatform().Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9801", "address to listen on")
	return cmd
}

// serve serves h at the address listen until ctx ends.
func serve(ctx context.Context, listen string, h http.Handler) error {
	server := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}

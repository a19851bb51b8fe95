package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/admin"
	"github.com/burdockpitch/burdockpitch/pkg/core"
)

// Status prints readiness, configuration, targets, instances and budgets of the instance whose administration API is at
// addr ("ip:port").
func Status(ctx context.Context, out io.Writer, addr string, asJSON bool) error {
	s, err := admin.NewClient(addr).Status(ctx)
	if err != nil {
		return err
	}
	if asJSON {
		return writeJSON(out, s)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "state: %s\n", s.Ready)
	writeConfiguration(w, s.Configuration)
	writeTargets(w, s.EvacuatedZones, s.Targets)
	writeInstances(w, s.Instances)
	writeBudgets(w, s.Budgets)
	writeQuarantine(w, s.Quarantined)
	return w.Flush()
}

func writeConfiguration(w io.Writer, c admin.Configuration) {
	fmt.Fprintf(w, "\nIN FORCE\tVERSION\tRULES\n")
	for _, e := range c.InForce {
		fmt.Fprintf(w, "%s\t%s\t%d\n", e.Service, e.Version, e.Rules)
	}
	for _, r := range c.Refused {
		fmt.Fprintf(w, "\nrefused: %s %s from %s at %s: %s\n", r.Service, r.Version, r.Source, r.Time.Format(time.RFC3339), r.Reason)
		for _, f := range r.Findings {
			fmt.Fprintf(w, "  %s\n", f)
		}
	}
	for _, conflict := range c.Conflicts {
		fmt.Fprintf(w, "conflict: %s\n", conflict)
	}
}

func writeTargets(w io.Writer, evacuatedZones []string, list []admin.ServiceTargets) {
	for _, zone := range evacuatedZones {
		fmt.Fprintf(w, "\nevacuated zone: %s\n", zone)
	}
	fmt.Fprintf(w, "\nSERVICE\tTARGET\tZONE\tSTATE\tREASON\tIN FLIGHT\tLIMIT\tLATENCY\n")
	for _, s := range list {
		if s.Unreachable {
			fmt.Fprintf(w, "%s: this instance can connect to no target and relays requests to other instances\n", s.Service)
		}
		for _, t := range s.Targets {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n",
				s.Service, t.ID, t.Zone, t.Status, dashIfEmpty(reasonText(t)), t.InFlight, t.Limit, t.Latency.Round(10*time.Microsecond))
		}
	}
}

// reasonText returns the reason of a target's state, and for a cold target how long it stays cold.
func reasonText(t core.TargetView) string {
	if t.Status != core.TargetStatusCold {
		return string(t.Reason)
	}
	return fmt.Sprintf("%s %s", t.Reason, t.ColdFor.Round(100*time.Millisecond))
}

func writeInstances(w io.Writer, list []admin.Instance) {
	fmt.Fprintf(w, "\nINSTANCE\tZONE\tSTATE\tIN CONTACT\n")
	for _, i := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\n", i.Address, i.Zone, i.State, i.InContact)
	}
}

func writeBudgets(w io.Writer, list []admin.ServiceBudgets) {
	fmt.Fprintf(w, "\nOVER %s\tREQUESTS\tRETRIES\tHEDGES\tQUEUED\n", core.BudgetWindow)
	for _, b := range list {
		queued := 0
		for _, n := range b.Queued {
			queued += n
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", b.Service, b.Requests, b.Retries, b.Hedges, queued)
	}
}

// writeQuarantine prints the requests that are withheld, if any.
func writeQuarantine(w io.Writer, list []admin.QuarantinedRequest) {
	for _, r := range list {
		idle := time.Duration(r.IdleSeconds * float64(time.Second)).Round(time.Second)
		fmt.Fprintf(w, "\nquarantined: content %s, %d targets crashed, last seen %s ago\n", r.Content, r.Crashes, idle)
	}
}

func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

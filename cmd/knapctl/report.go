package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const reportHelp = `Report whether each guarantee can be met, or how fragmented the free accelerators are.`

const reportExample = `  knapctl report guarantees
  knapctl report fragmentation --output json`

// newReport returns the command that reports on guarantees and fragmentation.
func newReport(a *app) *cobra.Command {
	cmd := commandGroup(&cobra.Command{Use: "report", Short: "Report on guarantees and fragmentation", Long: reportHelp, Example: reportExample})
	cmd.AddCommand(newReportGuarantees(a), newReportFragmentation(a))
	return cmd
}

func newReportGuarantees(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "guarantees",
		Short:   "Report whether each guarantee can be met",
		Example: "  knapctl report guarantees",
		Args:    exactly(),
		RunE: show(a, func(ctx context.Context, o *client.Operator, _ []string) (client.GuaranteeReport, error) {
			return o.Guarantees(ctx)
		}, guaranteeTable),
	}
}

func newReportFragmentation(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "fragmentation",
		Short:   "Report how fragmented the free accelerators are",
		Example: "  knapctl report fragmentation",
		Args:    exactly(),
		RunE: show(a, func(ctx context.Context, o *client.Operator, _ []string) (client.FragmentationReport, error) {
			return o.Fragmentation(ctx)
		}, fragmentationTable),
	}
}

func guaranteeTable(r client.GuaranteeReport) *table {
	t := &table{header: []string{"TEAM", "SHAPE", "COUNT", "IN USE", "WITNESSED", "SHORT", "REASON"}}
	for _, l := range r.Lines {
		t.add(l.Team, l.Shape, l.Count, l.InUse, l.Claimable, l.Shortfall, l.Reason)
	}
	return t
}

func fragmentationTable(r client.FragmentationReport) *table {
	t := &table{header: []string{"SHAPE", "FITS", "COULD FIT", "KEPT OUT BY LAYOUT"}}
	for _, l := range r.Lines {
		t.add(l.Shape, l.Fits, l.Possible, fmt.Sprintf("%.0f %%", 100*l.FragmentedShare))
	}
	return t
}

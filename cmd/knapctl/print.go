package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func (a *app) checkOutput() error {
	if a.output != outputTable && a.output != outputJSON {
		return fmt.Errorf("%w: --output %q: want table or json", errUsage, a.output)
	}
	return nil
}

// table is the human-readable form of a value.
type table struct {
	header []string
	rows   [][]string
}

// add appends a row.
func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		row = append(row, formatCell(c))
	}
	t.rows = append(t.rows, row)
}

// formatCell returns a value as text for a table.
func formatCell(v any) string {
	text := fmt.Sprint(v)
	if at, ok := v.(time.Time); ok {
		text = ""
		if !at.IsZero() {
			text = at.Format(time.RFC3339)
		}
	}
	if text == "" {
		return "-"
	}
	return text
}

// write writes the table with aligned columns.
func (t *table) write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}

// print writes a value as JSON or as a table, depending on --output.
func (a *app) print(cmd *cobra.Command, v any, toTable func() *table) error {
	if a.output == outputJSON {
		enc := json.NewEncoder(cmd.OutOrStdout())
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	return toTable().write(cmd.OutOrStdout())
}

// show returns a command function that fetches one value and prints it.
func show[T any](
	a *app,
	fetch func(ctx context.Context, o *client.Operator, args []string) (T, error),
	toTable func(T) *table,
) func(*cobra.Command, []string) error {
	return a.withOperator(func(cmd *cobra.Command, o *client.Operator, args []string) error {
		v, err := fetch(cmd.Context(), o, args)
		if err != nil {
			return err
		}
		return a.print(cmd, v, func() *table { return toTable(v) })
	})
}

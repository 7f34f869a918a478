package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const (
	// evacuationTimeout bounds an order with all its repetitions. A new leader is there in a second or two.
	evacuationTimeout = 15 * time.Second
	// evacuationTryTimeout is how long one control process has for its answer before the next one is asked.
	evacuationTryTimeout = 2 * time.Second
	evacuationPause      = 200 * time.Millisecond // between two rounds of all servers
	maxEvacuationBytes   = 1 << 20                // of an answer
	evacuationsPath      = "/api/evacuations"
)

const evacuateHelp = `Evacuate a failure domain for callers' jobs: nothing starts there any more; what runs there
goes on. --server names operators' addresses of control processes (desk in the settings of
jobctl); no operator's name or key is needed there. The order is sent again, also to other
servers, until it is acknowledged; that changes nothing.`

const withdrawHelp = `Withdraw the evacuation of a failure domain: jobs start there again. The order that was
acknowledged last holds.`

// newEvacuate returns the command that evacuates a failure domain.
func newEvacuate(a *app) *cobra.Command {
	return newEvacuationCommand(a, http.MethodPost, &cobra.Command{
		Use: "evacuate DOMAIN", Short: "Start no callers' jobs in a failure domain", Long: evacuateHelp,
		Example: "  knapctl evacuate krakow-a --server http://10.0.0.1:8526,http://10.0.0.2:8526",
	}, "evacuated")
}

// newWithdraw returns the command that takes a failure domain back.
func newWithdraw(a *app) *cobra.Command {
	return newEvacuationCommand(a, http.MethodDelete, &cobra.Command{
		Use: "withdraw DOMAIN", Short: "Withdraw the evacuation of a failure domain", Long: withdrawHelp,
		Example: "  knapctl withdraw krakow-a",
	}, "withdrawn")
}

func newEvacuationCommand(a *app, method string, cmd *cobra.Command, done string) *cobra.Command {
	cmd.Args = exactly("DOMAIN")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if args[0] == "" {
			return fmt.Errorf("%w: DOMAIN is empty", errUsage)
		}
		if _, err := a.evacuationCall(cmd.Context(), method, evacuationsPath+"/"+url.PathEscape(args[0])); err != nil {
			return err
		}
		_, err := fmt.Fprintln(cmd.OutOrStdout(), args[0], done)
		return errors.Wrap(err, "write")
	}
	return cmd
}

// evacuation is one in force.
type evacuation struct {
	Domain  string `json:"domain"`
	SinceMs int64  `json:"since"` // Unix milliseconds
}

// newEvacuations returns the command that lists the evacuations in force.
func newEvacuations(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "evacuations", Short: "List the evacuations of failure domains in force",
		Long:    `List the failure domains in which no callers' jobs start, and since when.`,
		Example: "  knapctl evacuations --output json", Args: exactly(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := a.checkOutput(); err != nil {
				return err
			}
			body, err := a.evacuationCall(cmd.Context(), http.MethodGet, evacuationsPath)
			if err != nil {
				return err
			}
			var list struct {
				Evacuations []evacuation `json:"evacuations"`
			}
			if err := json.Unmarshal(body, &list); err != nil {
				return errors.Wrap(err, "decode evacuations")
			}
			return a.print(cmd, list, func() *table {
				t := &table{header: []string{"DOMAIN", "SINCE"}}
				for _, e := range list.Evacuations {
					t.add(e.Domain, time.UnixMilli(e.SinceMs).UTC())
				}
				return t
			})
		},
	}
}

// evacuationCall sends a request to one server after the other until one answers it, and returns the body.
func (a *app) evacuationCall(ctx context.Context, method, path string) ([]byte, error) {
	p, err := a.profile()
	if err != nil {
		return nil, err
	}
	if len(p.Servers) == 0 {
		return nil, fmt.Errorf("%w: --server is required", errUsage)
	}
	ctx, cancel := context.WithTimeout(ctx, evacuationTimeout)
	defer cancel()
	for {
		for _, server := range p.Servers {
			body, err := tryEvacuationCall(ctx, method, strings.TrimSuffix(server, "/")+path)
			if err == nil || errors.Is(err, client.ErrRefused) || errors.Is(err, errUsage) {
				return body, err
			}
			if ctx.Err() != nil {
				return nil, fmt.Errorf("%w: %w; it may take effect all the same: send it again", client.ErrUnavailable, err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(evacuationPause):
		}
	}
}

func tryEvacuationCall(ctx context.Context, method, target string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, evacuationTryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", client.ErrUnreachable, err)
	}
	defer resp.Body.Close() //nolint:errcheck // the body is only read
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxEvacuationBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", client.ErrUnreachable, err)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return body, nil
	case resp.StatusCode < http.StatusInternalServerError:
		return nil, errors.Wrapf(client.ErrRefused, "status %d: %s", resp.StatusCode, strings.TrimSpace(string(body)))
	default:
		return nil, errors.Wrapf(client.ErrUnavailable, "status %d: %s", resp.StatusCode, strings.TrimSpace(string(body)))
	}
}

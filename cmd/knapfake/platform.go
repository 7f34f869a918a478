package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/internal/fakes"
)

const platformHelp = `Run a fake platform: workers, leases on workers, and the tasks that run under a lease.

Commands of tasks: "sleep 2s" (at speed 1.0), "fail", "forever".
For tests: GET /v1/journal, and PUT /v1/faults/{worker} with
{"fails":false,"unreachable":false,"dead":false,"delayms":0}.`

// newPlatform returns the command that runs a fake platform.
func newPlatform() *cobra.Command {
	var addr, region string
	var workers int
	var domains []string
	var lag time.Duration
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run a fake platform",
		Long:    platformHelp,
		Example: "  knapfake platform --listen 127.0.0.1:9000 --workers 10 --domains a,b,c",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ln, err := listen(cmd, "listening", addr)
			if err != nil {
				return err
			}
			p := fakes.NewPlatform(fakes.Fleet(workers, region, domains...), lag, fakes.WallClock{})
			return p.Serve(cmd.Context(), ln)
		},
	}
	f := cmd.Flags()
	f.StringVar(&addr, "listen", "127.0.0.1:0", "address to listen at")
	f.IntVar(&workers, "workers", 10, "number of workers, three per rack")
	f.StringSliceVar(&domains, "domains", []string{"a", "b", "c"}, "failure domains, to which the racks are assigned in turn")
	f.StringVar(&region, "region", "local", "region of the workers")
	f.DurationVar(&lag, "lag", 2*time.Second, "delay of the usage reports")
	return cmd
}

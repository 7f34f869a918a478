package main

import (
	"fmt"

	"github.com/dghubble/sling"
	"github.com/spf13/cobra"
)

const logLevelHelp = `Show the log level of one process, or change it until the process exits. --key-file and
--node have the same meaning as for knapctl dump.`

const logLevelExample = `  knapctl loglevel 10.0.0.4:7901 --key-file node.key
  knapctl loglevel 10.0.0.4:7901 --key-file node.key --set debug`

// logLevel is the request body of PUT /log/level.
type logLevel struct {
	Level string `json:"level"`
}

// newLogLevel returns the command that shows and changes a log level.
func newLogLevel(a *app) *cobra.Command {
	var f adminFlags
	var level string
	cmd := &cobra.Command{
		Use:     "loglevel ADDRESS",
		Short:   "Show or change the log level of one process",
		Long:    logLevelHelp,
		Example: logLevelExample,
		Args:    exactly("ADDRESS"),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := a.adminRequest(cmd, f, args[0], func(s *sling.Sling) *sling.Sling {
				if level == "" {
					return s.Get("/log/level")
				}
				return s.Put("/log/level").BodyJSON(logLevel{Level: level})
			})
			if err != nil {
				return err
			}
			fmt.Fprint(cmd.OutOrStdout(), string(text))
			return nil
		},
	}
	cmd.Flags().StringVar(&level, "set", "", "new log level: debug, info, warn or error")
	f.addFlags(cmd)
	return cmd
}

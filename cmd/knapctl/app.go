package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// app holds the flags that all commands share.
type app struct {
	configPath   string
	servers      []string
	operatorName string
	keyFile      string
	output       string
}

// profile holds the contents of knapctl's settings file.
type profile struct {
	Servers  []string `json:"servers"`
	Operator string   `json:"operator"`
	KeyFile  string   `json:"keyfile"`
}

func (a *app) addFlags(f *pflag.FlagSet) {
	f.StringVar(&a.configPath, "config", os.Getenv("KNAPCTL_CONFIG"), "settings file of knapctl")
	f.StringSliceVar(&a.servers, "server", nil, "base URL of an entry or control process; if several are given, they are tried in turn")
	f.StringVar(&a.operatorName, "operator", "", "name of the operator")
	f.StringVar(&a.keyFile, "key-file", "", "file with the operator's key (for dump and loglevel: with the node's key)")
	f.StringVarP(&a.output, "output", "o", "table", "output format: table or json")
}

// profile returns the settings: flags override the environment, which overrides
// the settings file.
func (a *app) profile() (profile, error) {
	p, err := readProfile(a.configPath)
	if err != nil {
		return p, err
	}
	p.Operator = firstNonEmpty(a.operatorName, os.Getenv("KNAPCTL_OPERATOR"), p.Operator)
	p.KeyFile = firstNonEmpty(a.keyFile, os.Getenv("KNAPCTL_KEY_FILE"), p.KeyFile)
	if servers := os.Getenv("KNAPCTL_SERVER"); servers != "" {
		p.Servers = strings.Split(servers, ",")
	}
	if len(a.servers) > 0 {
		p.Servers = a.servers
	}
	return p, nil
}

func readProfile(path string) (profile, error) {
	var p profile
	if path == "" {
		return p, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return p, fmt.Errorf("%w: %w", errUsage, err)
	}
	return p, decodeFile(path, text, &p)
}

// decodeFile decodes the text of a JSON file. The error lists every problem.
func decodeFile(path string, text []byte, target any) error {
	problems, err := kern.Decode(text, target)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", errUsage, path, err)
	}
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, "  "+p.String())
	}
	return fmt.Errorf("%w: %s has %d problems:\n%s", errUsage, path, len(problems), strings.Join(lines, "\n"))
}

func firstNonEmpty(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}

// readKey reads the key file.
func (p profile) readKey() (string, error) {
	if p.KeyFile == "" {
		return "", fmt.Errorf("%w: --key-file is required", errUsage)
	}
	text, err := os.ReadFile(p.KeyFile)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errUsage, err)
	}
	return strings.TrimSpace(string(text)), nil
}

// operator returns the client and the operator's name.
func (a *app) operator() (*client.Operator, string, error) {
	p, err := a.profile()
	if err != nil {
		return nil, "", err
	}
	if p.Operator == "" {
		return nil, "", fmt.Errorf("%w: --operator is required", errUsage)
	}
	key, err := p.readKey()
	if err != nil {
		return nil, "", err
	}
	o, err := client.NewOperator(p.Servers, p.Operator, key, &http.Client{})
	if errors.Is(err, client.ErrNoServer) || errors.Is(err, client.ErrMalformed) {
		err = fmt.Errorf("%w: --server: %w", errUsage, err)
	}
	return o, p.Operator, err
}

// withOperator returns a command function that calls run with the operator's
// client.
func (a *app) withOperator(run func(cmd *cobra.Command, o *client.Operator, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := a.checkOutput(); err != nil {
			return err
		}
		o, _, err := a.operator()
		if err != nil {
			return err
		}
		return run(cmd, o, args)
	}
}

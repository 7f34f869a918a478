package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

const keyHelp = `Generate keys. Each role has a master key, which is stored in the settings of the
processes that accept connections from the role's nodes (keys.roles). Each node has only
a key derived from the master key and its own name (keys.self), so that no node can
impersonate another.`

const keyExample = `  knapctl key new > agent.key
  knapctl key derive agent-3 --key-file agent.key`

const newKeyBytes = 32

// newKey returns the command that generates keys.
func newKey(a *app) *cobra.Command {
	cmd := commandGroup(&cobra.Command{Use: "key", Short: "Generate keys", Long: keyHelp, Example: keyExample})
	cmd.AddCommand(newKeyNew(), newKeyDerive(a))
	return cmd
}

func newKeyNew() *cobra.Command {
	return &cobra.Command{
		Use:     "new",
		Short:   "Print a new random key in hex",
		Example: "  knapctl key new > agent.key",
		Args:    exactly(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			key := make([]byte, newKeyBytes)
			if _, err := rand.Read(key); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), hex.EncodeToString(key))
			return nil
		},
	}
}

func newKeyDerive(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "derive NODE",
		Short:   "Print a node's own key, derived from its role's master key",
		Example: "  knapctl key derive agent-3 --key-file agent.key",
		Args:    exactly("NODE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := a.profile()
			if err != nil {
				return err
			}
			hexKey, err := p.readKey()
			if err != nil {
				return err
			}
			master, err := hex.DecodeString(hexKey)
			if err != nil || len(master) < kern.MinKeyBytes {
				return fmt.Errorf("%w: key file: want at least %d bytes in hex", errUsage, kern.MinKeyBytes)
			}
			fmt.Fprintln(cmd.OutOrStdout(), hex.EncodeToString(kern.DeriveKey(master, args[0])))
			return nil
		},
	}
}

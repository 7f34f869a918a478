package main

import (
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const (
	adminTimeout          = 30 * time.Second
	maxAdminResponseBytes = 256 << 20
)

// adminFlags holds the flags of commands that use the admin listener of one
// process.
type adminFlags struct {
	node string
}

func (f *adminFlags) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.node, "node", "", "name of the process; set it if the key file holds its role's master key")
}

// adminRequest sends a request to the admin listener of a process and returns
// the response body.
func (a *app) adminRequest(cmd *cobra.Command, f adminFlags, addr string, setRequest func(*sling.Sling) *sling.Sling) ([]byte, error) {
	token, err := a.adminToken(f)
	if err != nil {
		return nil, err
	}
	if !strings.Contains(addr, "://") {
		addr = "http://" + addr
	}
	req, err := setRequest(sling.New().Base(addr).Set("Authorization", "Bearer "+token)).Request()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	resp, err := (&http.Client{Timeout: adminTimeout}).Do(req.WithContext(cmd.Context()))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", client.ErrUnreachable, err)
	}
	defer resp.Body.Close() //nolint:errcheck // the body is only read
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", client.ErrUnreachable, err)
	}
	switch {
	case resp.StatusCode == http.StatusUnauthorized:
		return nil, errors.Wrapf(client.ErrDenied, "%s", addr)
	case resp.StatusCode >= http.StatusBadRequest:
		return nil, errors.Newf("%s: status %d: %s", addr, resp.StatusCode, strings.TrimSpace(string(body)))
	default:
		return body, nil
	}
}

// adminToken derives the admin token of a process from the key file.
func (a *app) adminToken(f adminFlags) (string, error) {
	p, err := a.profile()
	if err != nil {
		return "", err
	}
	hexKey, err := p.readKey()
	if err != nil {
		return "", err
	}
	key, err := hex.DecodeString(hexKey)
	if err != nil {
		return "", fmt.Errorf("%w: key file: want a key in hex", errUsage)
	}
	if f.node != "" {
		key = kern.DeriveKey(key, f.node)
	}
	return kern.AdminToken(key), nil
}

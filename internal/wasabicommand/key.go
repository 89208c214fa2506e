package wasabicommand

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabioperator"
)

// keyBytes is the number of random bytes in a new key.
const keyBytes = 32

func (a *app) keyCommand() *cobra.Command {
	return group("key", "Generate keys and hash them", a.keyNew(), a.keyHash())
}

func (a *app) keyNew() *cobra.Command {
	return &cobra.Command{
		Use:   "new",
		Short: "Generate a key: the key on the standard output, its hash on the standard error",
		Long: `Generate a key for a client account or an operator.

The key goes to the standard output, its hash to the standard error. Put the
hash into "key_hashes" or "operator_key_hashes" of the configuration and give
the key to its user; no part of the system stores it.`,
		Example: "  wasabictl key new > ~/.wasabi-key",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			raw := make([]byte, keyBytes)
			if _, err := rand.Read(raw); err != nil {
				return wasabiridge.ErrUnavailable.Wrap(err, "generate key")
			}
			key := base64.RawURLEncoding.EncodeToString(raw)
			fmt.Fprintln(a.Out, key)
			a.warn("hash %s", wasabioperator.HashKey(key))
			return nil
		},
	}
}

func (a *app) keyHash() *cobra.Command {
	return &cobra.Command{
		Use:     "hash",
		Short:   "Read a key from the standard input and print its hash",
		Example: "  wasabictl key hash < ~/.wasabi-key",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			data, err := io.ReadAll(a.In)
			if err != nil {
				return wasabiridge.ErrInvalid.Wrap(err, "read key from the standard input")
			}
			key := strings.TrimSpace(string(data))
			if key == "" {
				return wasabiridge.ErrInvalid.New("no key on the standard input")
			}
			fmt.Fprintln(a.Out, wasabioperator.HashKey(key))
			return nil
		},
	}
}

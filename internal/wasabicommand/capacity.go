package wasabicommand

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicapacity"
)

// pageMode is the file mode of written pages and reports.
const pageMode = 0o644

func (a *app) capacityCommand() *cobra.Command {
	var directory, out string
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Compute the cost at the target size from measured slopes",
		Example: `  wasabictl capacity --dir docs/capacity
  wasabictl capacity --dir docs/capacity --out docs/CAPACITY.md`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			roles, err := wasabicapacity.Load(directory)
			if err != nil {
				return err
			}
			page, err := wasabicapacity.Page(roles)
			if err != nil {
				return err
			}
			if out == "" {
				fmt.Fprint(a.Out, page)
				return nil
			}
			if err := os.WriteFile(out, []byte(page), pageMode); err != nil {
				return wasabiridge.ErrInvalid.Wrap(err, "write the page")
			}
			return nil
		},
	}
	c.Flags().StringVar(&directory, "dir", "docs/capacity", "directory with the measured points")
	c.Flags().StringVar(&out, "out", "", "write the page into this file")
	return c
}

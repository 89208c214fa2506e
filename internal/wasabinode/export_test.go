package wasabinode

import (
	"context"

	"github.com/wasabiridge/wasabiridge"
)

// AcceptFor is acceptFor.
var AcceptFor = acceptFor

// ReadRoster returns the instances that one finds that knows nobody.
func ReadRoster(ctx context.Context, table wasabiridge.Table) ([]wasabiridge.InstanceEntry, error) {
	r := &roster{table: table, asked: true, alone: func() bool { return true }}
	return r.Instances(ctx)
}

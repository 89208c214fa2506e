package wasabicontract

import (
	"bytes"
	"context"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
)

// TableSubject is an empty table under test.
type TableSubject struct {
	Table  wasabiridge.Table
	Script InjectFaults
}

// Table returns the checks for wasabiridge.Table without faults. Fresh is called for each
// check and must return an empty table.
func Table(fresh func() TableSubject) Checks { return tableContract(fresh, tableChecks) }

// TableFaults returns the checks for wasabiridge.Table when operations of the platform
// fail. The subjects must have an InjectFaults.
func TableFaults(fresh func() TableSubject) Checks { return tableContract(fresh, tableFaultChecks) }

func tableContract(fresh func() TableSubject, steps map[string]func(t tableSteps) error) Checks {
	checks := Checks{}
	for name, check := range steps {
		checks[name] = func(ctx context.Context) error {
			return check(tableSteps{TableSubject: fresh(), ctx: ctx})
		}
	}
	return checks
}

var tableChecks = map[string]func(t tableSteps) error{
	"a missing row has revision zero": func(t tableSteps) error {
		return t.revisionIs("a", 0)
	},
	"a row is created only if it does not exist": func(t tableSteps) error {
		return runSteps(
			t.commit("w1", nil, change("a", 0, "1")),
			t.commit("w2", wasabiridge.ErrConflict, change("a", 0, "2")),
			t.holds("a", "1", "w1"),
		)
	},
	"a change with a wrong revision is a conflict": func(t tableSteps) error {
		return runSteps(
			t.commit("w1", nil, change("a", 0, "1")),
			t.replace("w2", nil, "a", "2"),
			t.commit("w3", wasabiridge.ErrConflict, change("a", 1<<40, "3")),
			t.holds("a", "2", "w2"),
		)
	},
	"a transaction applies all changes or none": func(t tableSteps) error {
		return runSteps(
			t.commit("w1", nil, change("a", 0, "1")),
			t.commit("w2", wasabiridge.ErrConflict, change("b", 0, "2"), change("a", 0, "2")),
			func() error { return t.revisionIs("b", 0) },
			t.commit("w3", nil, change("b", 0, "3"), change("c", 0, "3")),
			t.holds("b", "3", "w3"),
			t.holds("c", "3", "w3"),
		)
	},
	"a row that is deleted and created again never gets an old revision": func(t tableSteps) error {
		var old wasabiridge.Row
		return runSteps(
			t.commit("w1", nil, change("a", 0, "1")),
			t.get("a", &old),
			func() error {
				return t.commit("w2", nil, wasabiridge.RowChange{Key: "a", IfRevision: old.Revision, Delete: true})()
			},
			func() error { return t.revisionIs("a", 0) },
			t.commit("w3", nil, change("a", 0, "3")),
			func() error { return t.commit("w4", wasabiridge.ErrConflict, change("a", old.Revision, "4"))() },
			t.holds("a", "3", "w3"),
		)
	},
	"a list is sorted and limited": func(t tableSteps) error {
		return runSteps(
			t.commit("w1", nil, change("p/2", 0, ""), change("p/1", 0, ""), change("p/3", 0, ""), change("q/1", 0, "")),
			t.lists("p/", "", 2, "p/1", "p/2"),
			t.lists("p/", "p/2", 2, "p/3"),
			t.lists("r/", "", 2),
		)
	},
	"keys and values keep all bytes": func(t tableSteps) error {
		value := string([]byte{0, 255, '\n', '"', 0xc3, 0x28})
		return runSteps(
			t.commit("w/1 ?#%", nil, change("k/ä ?#%&+", 0, value)),
			t.holds("k/ä ?#%&+", value, "w/1 ?#%"),
			t.lists("k/ä ", "", 2, "k/ä ?#%&+"),
		)
	},
	"a transaction without an identifier is invalid": func(t tableSteps) error {
		return t.commit("", wasabiridge.ErrInvalid, change("a", 0, "1"))()
	},
	"a transaction with two changes of a row is invalid": func(t tableSteps) error {
		return t.commit("w1", wasabiridge.ErrInvalid, change("a", 0, "1"), change("a", 0, "2"))()
	},
	"a read with a cancelled context fails": func(t tableSteps) error {
		ctx, cancel := context.WithCancel(t.ctx)
		cancel()
		_, err := t.Table.Get(ctx, "a")
		return expect(err != nil, "a read with a cancelled context succeeded")
	},
}

var tableFaultChecks = map[string]func(t tableSteps) error{
	"a write that is reported as unavailable has no effect": func(t tableSteps) error {
		t.Script(wasabifault.Write, wasabifault.Outcome{Kind: wasabifault.Unavailable})
		return runSteps(
			t.commit("w1", wasabiridge.ErrUnavailable, change("a", 0, "1")),
			func() error { return t.revisionIs("a", 0) },
		)
	},
	"a write with a lost answer is reported as unknown and has an effect": func(t tableSteps) error {
		t.Script(wasabifault.Write, wasabifault.Outcome{Kind: wasabifault.LostAnswer})
		return runSteps(
			t.commit("w1", wasabiridge.ErrOutcomeUnknown, change("a", 0, "1")),
			t.holds("a", "1", "w1"),
		)
	},
	"a lost write request is reported as unknown and has no effect": func(t tableSteps) error {
		t.Script(wasabifault.Write, wasabifault.Outcome{Kind: wasabifault.LostRequest})
		return runSteps(
			t.commit("w1", wasabiridge.ErrOutcomeUnknown, change("a", 0, "1")),
			func() error { return t.revisionIs("a", 0) },
		)
	},
	"a delayed copy of an applied write has no effect": func(t tableSteps) error {
		t.Script(wasabifault.Write, wasabifault.Outcome{Kind: wasabifault.LateEffect}, wasabifault.Outcome{})
		return runSteps(
			t.commit("w1", wasabiridge.ErrOutcomeUnknown, change("a", 0, "1")),
			t.commit("w1", wasabiridge.ErrConflict, change("a", 0, "1")),
			t.holds("a", "1", "w1"),
		)
	},
	"a concurrent change is a conflict": func(t tableSteps) error {
		t.Script(wasabifault.Write, wasabifault.Outcome{}, wasabifault.Outcome{Kind: wasabifault.Race})
		return runSteps(
			t.commit("w1", nil, change("a", 0, "1")),
			t.replace("w2", wasabiridge.ErrConflict, "a", "2"),
		)
	},
	"a failed read is reported as unavailable": func(t tableSteps) error {
		t.Script(wasabifault.Read, wasabifault.Outcome{Kind: wasabifault.Unavailable})
		_, err := t.Table.Get(t.ctx, "a")
		return expectType("read", err, wasabiridge.ErrUnavailable)
	},
}

type tableSteps struct {
	TableSubject
	ctx context.Context
}

func change(key string, ifRevision uint64, value string) wasabiridge.RowChange {
	return wasabiridge.RowChange{Key: key, IfRevision: ifRevision, Value: []byte(value)}
}

func (t tableSteps) commit(id wasabiridge.WriteID, want *errorx.Type, changes ...wasabiridge.RowChange) func() error {
	return func() error {
		err := t.Table.Commit(t.ctx, wasabiridge.Transaction{ID: id, Changes: changes})
		return expectType("write "+string(id), err, want)
	}
}

func (t tableSteps) get(key string, row *wasabiridge.Row) func() error {
	return func() error {
		var err error
		*row, err = t.Table.Get(t.ctx, key)
		return expectType("read of "+key, err, nil)
	}
}

func (t tableSteps) replace(id wasabiridge.WriteID, want *errorx.Type, key, value string) func() error {
	return func() error {
		var row wasabiridge.Row
		if err := t.get(key, &row)(); err != nil {
			return err
		}
		return t.commit(id, want, change(key, row.Revision, value))()
	}
}

func (t tableSteps) revisionIs(key string, want uint64) error {
	var row wasabiridge.Row
	if err := t.get(key, &row)(); err != nil {
		return err
	}
	return expect(row.Revision == want, "row %q: got revision %d, want %d", key, row.Revision, want)
}

func (t tableSteps) holds(key, value string, id wasabiridge.WriteID) func() error {
	return func() error {
		var row wasabiridge.Row
		if err := t.get(key, &row)(); err != nil {
			return err
		}
		ok := bytes.Equal(row.Value, []byte(value)) && row.LastWrite == id && row.Key == key && row.Revision != 0
		return expect(ok, "row %q: got %+v, want value %q of write %q", key, row, value, id)
	}
}

func (t tableSteps) lists(prefix, after string, limit int, want ...string) func() error {
	return func() error {
		rows, err := t.Table.List(t.ctx, prefix, after, limit)
		if err != nil {
			return ErrViolated.Wrap(err, "list of %q failed", prefix)
		}
		ok := len(rows) == len(want)
		for i := 0; ok && i < len(want); i++ {
			ok = rows[i].Key == want[i] && rows[i].Revision != 0
		}
		return expect(ok, "list of %q after %q: got %+v, want %q", prefix, after, rows, want)
	}
}

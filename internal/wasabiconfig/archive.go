package wasabiconfig

import (
	"context"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
)

// archive stores accepted configurations in the table.
type archive struct {
	table  wasabiridge.Table
	writer *wasabitable.Writer
}

// head is the newest accepted version, without its text, and the revision of its row.
type head struct {
	document wasabiridge.ConfigDocument
	revision uint64
}

func (a archive) head(ctx context.Context) (head, error) {
	var (
		row wasabiridge.Row
		err error
	)
	if row, err = a.table.Get(ctx, headKey); err != nil {
		return head{}, err
	}
	if row.Revision == 0 {
		return head{}, nil
	}
	h := head{revision: row.Revision}
	h.document, err = DecodeDocument(row.Value)
	return h, err
}

// read returns an accepted version with its text.
func (a archive) read(ctx context.Context, v wasabiridge.ConfigVersion) (wasabiridge.ConfigDocument, error) {
	var (
		row wasabiridge.Row
		err error
	)
	if row, err = a.table.Get(ctx, historyKey(v)); err != nil {
		return wasabiridge.ConfigDocument{}, err
	}
	if row.Revision == 0 {
		return wasabiridge.ConfigDocument{}, wasabiridge.ErrNotFound.New("no configuration of version %d", v)
	}
	return DecodeDocument(row.Value)
}

// newer returns the newest accepted version if it is above have, and a zero document
// otherwise.
func (a archive) newer(ctx context.Context, have wasabiridge.ConfigVersion) (wasabiridge.ConfigDocument, error) {
	h, err := a.head(ctx)
	if err != nil || h.document.Version <= have {
		return wasabiridge.ConfigDocument{}, err
	}
	return a.read(ctx, h.document.Version)
}

func (a archive) history(ctx context.Context, limit int) ([]wasabiridge.ConfigDocument, error) {
	var (
		rows []wasabiridge.Row
		err  error
	)
	if rows, err = a.table.List(ctx, historyPrefix, "", limit); err != nil {
		return nil, err
	}
	documents := make([]wasabiridge.ConfigDocument, len(rows))
	for i, row := range rows {
		if documents[i], err = DecodeDocument(row.Value); err != nil {
			return nil, err
		}
	}
	return documents, nil
}

// accept stores the document as the successor of the head. The revision of the head row
// makes this a compare-and-swap. Only this write ever writes the row of the history. So
// that row shows whether the write took effect even when its response is lost and
// another operator replaces the head before the read-back.
func (a archive) accept(ctx context.Context, h head, d wasabiridge.ConfigDocument) error {
	full, err := EncodeDocument(d)
	if err != nil {
		return err
	}
	d.Text = nil
	var short []byte
	if short, err = EncodeDocument(d); err != nil {
		return err
	}
	return a.writer.Commit(ctx, wasabitable.Write{
		Changes: []wasabiridge.RowChange{
			{Key: headKey, IfRevision: h.revision, Value: short},
			{Key: historyKey(d.Version), Value: full},
		},
		Witness: historyKey(d.Version),
	})
}

package wasabioutcome

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wasabiridge/wasabiridge"
)

// Format and limits of the stored objects.
const (
	formatVersion = 1
	// maxObjectBytes bounds the decompressed size of an object.
	maxObjectBytes = 64 << 20
	// maxCount bounds the count of one bucket, so that sums over a quarter cannot overflow.
	maxCount   = 1 << 40
	namePrefix = "outcomes/"
	dayLayout  = "2006-01-02"
)

// Window holds the outcomes that one incarnation of an instance counted on one
// day in UTC. It is the content of one object in the store.
type Window struct {
	Format      int                     `json:"format"`
	Instance    wasabiridge.InstanceID  `json:"instance"`
	Incarnation wasabiridge.Incarnation `json:"incarnation"`
	Day         string                  `json:"day"`
	// Sequence increases with every write of the window.
	Sequence uint64 `json:"sequence"`
	// From and To bound the time that the window covers.
	From wasabiridge.Millis `json:"from_ms"`
	To   wasabiridge.Millis `json:"to_ms"`
	// Interval is the time between writes, and so the most that a crash loses.
	Interval wasabiridge.Millis `json:"interval_ms"`
	// Sealed means that no further outcomes follow, because the day is over or
	// the instance shut down gracefully.
	Sealed bool `json:"sealed"`
	// Folded counts requests that are counted under OtherAccount.
	Folded uint64 `json:"folded,omitempty"`
	// Lost counts outcomes that were dropped because the queue was full.
	Lost uint64 `json:"lost,omitempty"`
	// DroppedDays counts the windows that this incarnation has dropped because
	// the store was unavailable for more than MaxDays.
	DroppedDays uint64 `json:"dropped_days,omitempty"`
	// Seen lists the instances that have been in the membership view.
	Seen   []wasabiridge.InstanceID `json:"seen,omitempty"`
	Series []SeriesData             `json:"series"`
}

// SeriesData is one series of a window.
type SeriesData struct {
	Key
	Counters
	// FirstToken is the histogram of the time to first token in milliseconds,
	// Between that of the mean time between tokens in microseconds.
	FirstToken []Bucket `json:"ttft,omitempty"`
	Between    []Bucket `json:"between,omitempty"`
}

// Bucket is a value of a histogram and its count.
type Bucket [2]int64

// ObjectName returns the name of the object that holds a window.
func ObjectName(day string, instance wasabiridge.InstanceID, incarnation wasabiridge.Incarnation) string {
	return fmt.Sprintf("%s%s/%s/%d", QuarterPrefix(quarterOfDay(day)), day, url.PathEscape(string(instance)), incarnation)
}

// QuarterPrefix returns the name prefix of all objects of a quarter.
func QuarterPrefix(quarter string) string { return namePrefix + quarter + "/" }

func quarterOfDay(day string) string {
	at, err := time.Parse(dayLayout, day)
	if err != nil {
		return "unknown"
	}
	return QuarterAt(wasabiridge.MillisAt(at))
}

// QuarterAt returns the quarter in UTC that contains a point in time, such as
// "2026Q4".
func QuarterAt(at wasabiridge.Millis) string {
	t := at.Time()
	return fmt.Sprintf("%dQ%d", t.Year(), (int(t.Month())+2)/3)
}

func dayOf(at wasabiridge.Millis) string { return at.Time().Format(dayLayout) }

// gzipWriters pools compressors. Each holds nearly a megabyte, which would
// otherwise be allocated and cleared for every window.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// EncodeWindow encodes a window as JSON compressed with gzip.
func EncodeWindow(w Window) ([]byte, error) {
	var buf bytes.Buffer
	writer := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(writer)
	writer.Reset(&buf)
	if err := json.NewEncoder(writer).Encode(w); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "outcome: encode window")
	}
	if err := writer.Close(); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "outcome: compress window")
	}
	return buf.Bytes(), nil
}

// DecodeWindow decodes a window and checks its format version, day and bounds.
// It reports ErrInvalid. ValidateWindow checks the histograms.
func DecodeWindow(data []byte) (Window, error) {
	var w Window
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return w, wasabiridge.ErrInvalid.Wrap(err, "outcome: decompress window")
	}
	if err := json.NewDecoder(io.LimitReader(reader, maxObjectBytes)).Decode(&w); err != nil {
		return w, wasabiridge.ErrInvalid.Wrap(err, "outcome: decode window")
	}
	if w.Format != formatVersion {
		return w, wasabiridge.ErrInvalid.New("outcome: window has format version %d, only version %d is supported", w.Format, formatVersion)
	}
	if _, err := time.Parse(dayLayout, w.Day); err != nil {
		return w, wasabiridge.ErrInvalid.Wrap(err, "outcome: invalid day of a window")
	}
	if w.From > w.To {
		return w, wasabiridge.ErrInvalid.New("outcome: window ends at %d, before its begin at %d", w.To, w.From)
	}
	return w, nil
}

func (s *series) data(k Key) SeriesData {
	return SeriesData{Key: k, Counters: s.counters, FirstToken: bucketsOf(s.firstToken), Between: bucketsOf(s.between)}
}

func bucketsOf(h *hdrhistogram.PackedHistogram) []Bucket {
	buckets := make([]Bucket, 0, h.Populated())
	h.ForEachBucket(func(value, count int64) bool {
		if count > 0 {
			buckets = append(buckets, Bucket{value, count})
		}
		return true
	})
	return buckets
}

// series rebuilds a series from its stored form. It reports ErrInvalid.
func (d SeriesData) series() (*series, error) {
	s := newSeries()
	s.counters = d.Counters
	if err := addBuckets(s.firstToken, d.FirstToken); err != nil {
		return nil, err
	}
	if err := addBuckets(s.between, d.Between); err != nil {
		return nil, err
	}
	return s, nil
}

// addBuckets records buckets in a histogram. It rejects a value out of range
// and a count that is not positive or above maxCount, because either would
// distort percentiles without any visible error.
func addBuckets(h *hdrhistogram.PackedHistogram, buckets []Bucket) error {
	for _, b := range buckets {
		if b[1] <= 0 || b[1] > maxCount {
			return wasabiridge.ErrInvalid.New("outcome: histogram bucket with invalid count %d", b[1])
		}
		if err := h.RecordValues(b[0], b[1]); err != nil {
			return wasabiridge.ErrInvalid.Wrap(err, "outcome: histogram bucket with invalid value %d", b[0])
		}
	}
	return nil
}

// ValidateWindow validates every histogram of a window. It reports ErrInvalid for
// the first invalid one.
func ValidateWindow(w Window) error {
	_, err := decodeSeries(w)
	return err
}

func decodeSeries(w Window) ([]*series, error) {
	decoded := make([]*series, len(w.Series))
	for i, d := range w.Series {
		var err error
		if decoded[i], err = d.series(); err != nil {
			return nil, err
		}
	}
	return decoded, nil
}

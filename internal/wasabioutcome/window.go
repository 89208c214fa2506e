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

// Format of the objects.
const (
	formatVersion = 1
	// maxObjectBytes bounds what a decoder unpacks.
	maxObjectBytes = 64 << 20
	// maxCount bounds one bucket, so that sums over a quarter cannot overflow.
	maxCount   = 1 << 40
	namePrefix = "outcomes/"
	dayLayout  = "2006-01-02"
)

// Window is what one life of one instance counted on one day in UTC, as it
// stands in the object store.
type Window struct {
	Format      int                     `json:"format"`
	Instance    wasabiridge.InstanceID  `json:"instance"`
	Incarnation wasabiridge.Incarnation `json:"incarnation"`
	Day         string                  `json:"day"`
	// Sequence rises with every write of the window.
	Sequence uint64 `json:"sequence"`
	// From and To bound the time that is counted.
	From wasabiridge.Millis `json:"from_ms"`
	To   wasabiridge.Millis `json:"to_ms"`
	// Interval is the time between writes, which bounds what a crash loses.
	Interval wasabiridge.Millis `json:"interval_ms"`
	// Sealed says that nothing follows: the day is over or the instance ended
	// gracefully.
	Sealed bool `json:"sealed"`
	// Folded counts requests without a series of their own.
	Folded uint64 `json:"folded,omitempty"`
	// Lost counts outcomes that found the ring full.
	Lost uint64 `json:"lost,omitempty"`
	// DroppedDays counts windows that were given up during an outage.
	DroppedDays uint64                   `json:"dropped_days,omitempty"`
	Seen        []wasabiridge.InstanceID `json:"seen,omitempty"`
	Series      []SeriesData             `json:"series"`
}

// SeriesData is one series of a window.
type SeriesData struct {
	Key
	Counters
	// FirstToken and Between are histograms.
	FirstToken []Bucket `json:"ttft,omitempty"`
	Between    []Bucket `json:"between,omitempty"`
}

// Bucket is a value of a histogram and how often it was counted.
type Bucket [2]int64

// ObjectName returns where a window stands in the store.
func ObjectName(day string, instance wasabiridge.InstanceID, life wasabiridge.Incarnation) string {
	return fmt.Sprintf("%s%s/%s/%d", DayPrefix(quarterOfDay(day)), day, url.PathEscape(string(instance)), life)
}

// DayPrefix returns the prefix of all objects of a quarter.
func DayPrefix(quarter string) string { return namePrefix + quarter + "/" }

func quarterOfDay(day string) string {
	at, err := time.Parse(dayLayout, day)
	if err != nil {
		return "unknown"
	}
	return QuarterAt(wasabiridge.MillisAt(at))
}

// QuarterAt names the quarter that holds a point in time, such as "2026Q4".
func QuarterAt(at wasabiridge.Millis) string {
	t := at.Time()
	return fmt.Sprintf("%dQ%d", t.Year(), (int(t.Month())+2)/3)
}

func dayOf(at wasabiridge.Millis) string { return at.Time().Format(dayLayout) }

// packers keeps compressors for reuse. Each holds most of a megabyte, which
// would otherwise be allocated and cleared for every window.
var packers = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// EncodeWindow writes a window as compressed JSON.
func EncodeWindow(w Window) ([]byte, error) {
	var buf bytes.Buffer
	packer := packers.Get().(*gzip.Writer)
	defer packers.Put(packer)
	packer.Reset(&buf)
	if err := json.NewEncoder(packer).Encode(w); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "outcome: encode window")
	}
	if err := packer.Close(); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "outcome: compress window")
	}
	return buf.Bytes(), nil
}

// DecodeWindow reads a window and checks it. It reports ErrInvalid.
func DecodeWindow(data []byte) (Window, error) {
	var w Window
	unpacker, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return w, wasabiridge.ErrInvalid.Wrap(err, "outcome: unpack window")
	}
	if err := json.NewDecoder(io.LimitReader(unpacker, maxObjectBytes)).Decode(&w); err != nil {
		return w, wasabiridge.ErrInvalid.Wrap(err, "outcome: decode window")
	}
	if w.Format != formatVersion {
		return w, wasabiridge.ErrInvalid.New("outcome: window of format %d; this program reads %d", w.Format, formatVersion)
	}
	if _, err := time.Parse(dayLayout, w.Day); err != nil {
		return w, wasabiridge.ErrInvalid.Wrap(err, "outcome: day of a window")
	}
	if w.From > w.To {
		return w, wasabiridge.ErrInvalid.New("outcome: window ends before it begins")
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

// series reads the histograms of a series. It reports ErrInvalid.
func (d SeriesData) series() (*series, error) {
	s := newSeries()
	s.counters = d.Counters
	if err := fill(s.firstToken, d.FirstToken); err != nil {
		return nil, err
	}
	if err := fill(s.between, d.Between); err != nil {
		return nil, err
	}
	return s, nil
}

// fill counts buckets into a histogram. A value out of range or a count that
// is not positive is refused, because it would spoil percentiles unnoticed.
func fill(h *hdrhistogram.PackedHistogram, buckets []Bucket) error {
	for _, b := range buckets {
		if b[1] <= 0 || b[1] > maxCount {
			return wasabiridge.ErrInvalid.New("outcome: bucket with count %d", b[1])
		}
		if err := h.RecordValues(b[0], b[1]); err != nil {
			return wasabiridge.ErrInvalid.Wrap(err, "outcome: bucket with value %d", b[0])
		}
	}
	return nil
}

// CheckWindow reads every histogram of a window. It reports ErrInvalid for the
// first faulty one.
func CheckWindow(w Window) error {
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

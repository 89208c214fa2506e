package wasabiinstances

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"

	"github.com/go-chi/chi/v5"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabihead"
)

// Labels of a target group that describe an instance. Prometheus reserves meta
// labels for service discovery.
const (
	labelID        = "__meta_instance_id"
	labelCallerURL = "__meta_caller_url"
	labelZone      = "__meta_availability_zone"
	labelRegion    = "__meta_region"
	labelLeaving   = "__meta_leaving"
	leavingTrue    = "true"
)

// Limits of a list.
const (
	maxBody    = 4 << 20
	maxEntries = 10_000
)

// targetGroup is one element of the JSON of Prometheus HTTP service discovery.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// ClientOptions configures a Client.
type ClientOptions struct {
	// URL is the address that returns the list on GET.
	URL string
	// Timeout bounds each call. Zero means DefaultTimeout.
	Timeout wasabiridge.Millis
}

// DefaultTimeout is the default time-out of a read of the list.
const DefaultTimeout = 2 * wasabiridge.Second

// Client is a wasabiridge.InstanceList that reads Prometheus HTTP service
// discovery. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	http    *http.Client
}

var _ wasabiridge.InstanceList = (*Client)(nil)

// NewClient returns a client. It does not connect yet.
func NewClient(o ClientOptions) *Client {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	return &Client{options: o, http: &http.Client{Timeout: o.Timeout.Duration(), Transport: wasabihead.Transport(nil)}}
}

// Instances returns the platform's list, ordered by name.
func (c *Client) Instances(ctx context.Context) ([]wasabiridge.InstanceEntry, error) {
	var (
		request  *http.Request
		response *http.Response
		err      error
	)
	if request, err = http.NewRequestWithContext(ctx, http.MethodGet, c.options.URL, nil); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "invalid URL of the instance list")
	}
	if response, err = c.http.Do(request); err != nil {
		return nil, wasabiridge.ErrUnavailable.Wrap(err, "read the instance list")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, wasabiridge.ErrUnavailable.New("read the instance list: status %d", response.StatusCode)
	}
	var data []byte
	if data, err = io.ReadAll(io.LimitReader(response.Body, maxBody)); err != nil {
		return nil, wasabiridge.ErrUnavailable.Wrap(err, "response with the instance list was truncated")
	}
	return Decode(data)
}

// Decode decodes a response of Prometheus HTTP service discovery. It reports
// wasabiridge.ErrInvalid for the whole list when a group has no instance ID, an
// ID that is not unique, or not exactly one target: if such groups were
// skipped, their instances would look dead.
func Decode(data []byte) ([]wasabiridge.InstanceEntry, error) {
	var groups []targetGroup
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "decode the instance list")
	}
	if len(groups) > maxEntries {
		return nil, wasabiridge.ErrInvalid.New("instance list has too many entries: %d", len(groups))
	}
	entries := make([]wasabiridge.InstanceEntry, 0, len(groups))
	seen := map[string]bool{}
	for i, g := range groups {
		id := g.Labels[labelID]
		if id == "" || seen[id] || len(g.Targets) != 1 || g.Targets[0] == "" {
			return nil, wasabiridge.ErrInvalid.New("instance list: entry %d must have a unique instance ID and one target, got ID %q and %d targets", i, id, len(g.Targets))
		}
		seen[id] = true
		entries = append(entries, entryOf(g))
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
	return entries, nil
}

func entryOf(g targetGroup) wasabiridge.InstanceEntry {
	return wasabiridge.InstanceEntry{
		ID:          wasabiridge.InstanceID(g.Labels[labelID]),
		PeerAddress: g.Targets[0],
		CallerURL:   g.Labels[labelCallerURL],
		Zone:        wasabiridge.AvailabilityZone(g.Labels[labelZone]),
		Region:      wasabiridge.Region(g.Labels[labelRegion]),
		Leaving:     g.Labels[labelLeaving] == leavingTrue,
	}
}

// Encode encodes entries as a response of Prometheus HTTP service discovery.
func Encode(entries []wasabiridge.InstanceEntry) ([]byte, error) {
	groups := make([]targetGroup, len(entries))
	for i, e := range entries {
		groups[i] = targetGroup{Targets: []string{e.PeerAddress}, Labels: map[string]string{
			labelID:        string(e.ID),
			labelCallerURL: e.CallerURL,
			labelZone:      string(e.Zone),
			labelRegion:    string(e.Region),
		}}
		if e.Leaving {
			groups[i].Labels[labelLeaving] = leavingTrue
		}
	}
	return json.Marshal(groups)
}

// Handler serves the list on GET "/". It also takes the place of the platform
// that starts and stops instances: PUT "/" adds or replaces the instances in a
// body of the same format, and DELETE "/{id}" removes one.
func Handler(m *Memory) http.Handler {
	r := chi.NewRouter()
	r.Get("/", func(w http.ResponseWriter, r *http.Request) { serveList(w, r, m) })
	r.Put("/", func(w http.ResponseWriter, r *http.Request) { putInstances(w, r, m) })
	r.Delete("/{id}", func(w http.ResponseWriter, r *http.Request) {
		m.Remove(wasabiridge.InstanceID(chi.URLParam(r, "id")))
	})
	return r
}

func serveList(w http.ResponseWriter, r *http.Request, m *Memory) {
	entries, err := m.Instances(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	var data []byte
	if data, err = Encode(entries); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(data)
}

func putInstances(w http.ResponseWriter, r *http.Request, m *Memory) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var entries []wasabiridge.InstanceEntry
	if entries, err = Decode(data); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, e := range entries {
		m.Set(e)
	}
}

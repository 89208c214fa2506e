package wasabiridge

import "fmt"

// InstanceID identifies one process of the router, such as "pos-1".
type InstanceID string

// AvailabilityZone names a part of a region that fails independently of the others.
type AvailabilityZone string

// Region names a group of availability zones that lie close together.
type Region string

// ClientAccountID identifies a client account.
type ClientAccountID string

// BackendServerID identifies a backend server: a model engine or a plain service.
type BackendServerID string

// PoolID identifies a pool or a KV cache store.
type PoolID string

// RuleID identifies a rule of the configuration.
type RuleID string

// ModelID names a model, as callers write it in a request.
type ModelID string

// AdapterID names an adapter loaded on top of a model. The empty AdapterID means the
// model without an adapter.
type AdapterID string

// RequestID identifies one request of a caller across all of its attempts.
type RequestID string

// AttemptID identifies one try of a request at one backend server. IDs are never
// reused, so that a late response to an abandoned attempt is recognised.
type AttemptID uint64

// Incarnation distinguishes the runs of a process. It changes at every start, and a
// model engine with a new incarnation has an empty cache.
type Incarnation uint64

// WeightsVersion numbers the weights of a model and adapter. Versions only increase; a
// rollback is published under a new number.
type WeightsVersion uint64

// SoftwareVersion is the version of the software of a backend server, as the platform lists
// it. The output of two versions must not be joined in one stream. Empty means that the
// server states none.
type SoftwareVersion string

// ConfigVersion numbers the accepted configurations. Versions only increase. The zero
// ConfigVersion means that no configuration is known.
type ConfigVersion uint64

// FencingNumber increases with every new holder of a lease. A receiver that remembers
// the highest number seen can refuse orders of earlier holders.
type FencingNumber uint64

// WriteID identifies one write to the platform. A writer whose response was lost reads
// the row back and recognises its own write by this ID.
type WriteID string

// BlockHash identifies a prompt up to and including one cache block. It covers all
// earlier blocks and the cache root.
type BlockHash uint64

// Fingerprint identifies the content of a request, independent of the request ID, so
// that repetitions have the same fingerprint. Zero means that it is not known.
type Fingerprint uint64

// String returns the fingerprint as it appears in logs, with 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

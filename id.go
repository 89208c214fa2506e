package wasabiridge

import "fmt"

// InstanceID names one process of the router, such as "pos-1".
type InstanceID string

// AvailabilityZone names a part of a region that fails on its own.
type AvailabilityZone string

// Region names a group of availability zones that lie close together.
type Region string

// ClientAccountID names a client account.
type ClientAccountID string

// BackendServerID names a backend server: a model engine or a plain service.
type BackendServerID string

// PoolID names a set of backend servers that serve the same work.
type PoolID string

// RuleID names a rule of the configuration.
type RuleID string

// ModelID names a model, as callers write it in a request.
type ModelID string

// AdapterID names an adapter loaded on top of a model. The empty AdapterID
// means the plain model.
type AdapterID string

// RequestID names one request of a caller for its whole life.
type RequestID string

// AttemptID names one try of a request at one backend server. Attempt
// identifiers are never used again, so that a late answer of an abandoned
// attempt is recognised.
type AttemptID uint64

// Incarnation counts the lives of a process. It changes at every start, and a
// model engine with a new incarnation has an empty cache.
type Incarnation uint64

// WeightsVersion numbers the weights of a model and adapter. Versions only
// rise; the rollback of a version is published under a new number.
type WeightsVersion uint64

// ConfigVersion numbers the accepted configurations. Versions only rise. The
// zero ConfigVersion means that no configuration is known.
type ConfigVersion uint64

// FencingNumber rises with every new holder of a lease. A receiver that
// remembers the highest number it saw can refuse orders of earlier holders.
type FencingNumber uint64

// WriteID names one write to the platform. A writer that lost the answer
// reads back and recognises its own write by this identifier.
type WriteID string

// BlockHash identifies a prompt up to and including one cache block. It
// covers every earlier block and the root of the chain.
type BlockHash uint64

// Fingerprint names what a request asks, whoever sends it how often under which
// identifier. Zero means that it is not known.
type Fingerprint uint64

// String returns the fingerprint as it stands in logs, with 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Package wasabiplatform connects a process to the four services of the
// platform, and offers stand-ins for all of them in one server for tests and
// demos.
//
// # Usage
//
// A daemon connects with its settings:
//
//	platform := wasabiplatform.Connect(settings, clock)
//	row, err := platform.Table.Get(ctx, key)
//
// A test serves the stand-ins and injects the faults that it needs:
//
//	standIn := wasabiplatform.NewStandIn(wasabiplatform.StandInOptions{Clock: clock})
//	server := httptest.NewServer(standIn.Handler())
//	platform := wasabiplatform.Connect(standIn.Settings(server.URL), clock)
//	standIn.Table.Faults().SetPlan(wasabifault.Plan{LostAnswer: 0.1})
package wasabiplatform

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiinstances"
	"github.com/wasabiridge/wasabiridge/internal/wasabiobject"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
	"github.com/wasabiridge/wasabiridge/internal/wasabiweights"
)

// Settings contains the addresses and names of the platform's services, and the
// credentials for them.
type Settings struct {
	// TableURL is the endpoint of the DynamoDB API and Table the name of the
	// table.
	TableURL string `json:"table_url"`
	Table    string `json:"table"`
	// ObjectsURL is the endpoint of the S3 API. Objects and Weights are the
	// names of buckets.
	ObjectsURL string `json:"objects_url"`
	Objects    string `json:"objects"`
	Weights    string `json:"weights"`
	// InstancesURL serves Prometheus HTTP service discovery.
	InstancesURL string `json:"instances_url"`
	Region       string `json:"region"`
	AccessKey    string `json:"access_key"`
	SecretKey    string `json:"secret_key"`
	// Timeout bounds each call. Zero means the default of each client.
	Timeout wasabiridge.Millis `json:"timeout_ms,omitempty"`
}

// Platform holds a client for each service. It is an immutable value.
type Platform struct {
	Table     wasabiridge.Table
	Objects   wasabiridge.ObjectStore
	Instances wasabiridge.InstanceList
	Weights   wasabiridge.WeightStore
}

// Connect returns clients for all services. It sends nothing yet, so it works
// while the platform is down.
func Connect(s Settings, clock wasabiridge.Clock) Platform {
	bucket := func(name string) wasabiridge.ObjectStore {
		return wasabiobject.NewClient(wasabiobject.ClientOptions{
			URL: s.ObjectsURL, Bucket: name, Region: s.Region,
			AccessKey: s.AccessKey, SecretKey: s.SecretKey, Timeout: s.Timeout,
		})
	}
	return Platform{
		Table: wasabitable.NewClient(wasabitable.ClientOptions{
			URL: s.TableURL, Table: s.Table, Region: s.Region,
			AccessKey: s.AccessKey, SecretKey: s.SecretKey, Timeout: s.Timeout, Clock: clock,
		}),
		Objects:   bucket(s.Objects),
		Instances: wasabiinstances.NewClient(wasabiinstances.ClientOptions{URL: s.InstancesURL, Timeout: s.Timeout}),
		Weights:   wasabiweights.NewStore(bucket(s.Weights)),
	}
}

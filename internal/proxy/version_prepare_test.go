package proxy

import (
	stdjson "encoding/json"
	"fmt"
	"strings"
	"testing"

	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/memestimate"
	"example.org/micafront/internal/routing"
)

const plainSettings = `{"Balancers":1,"Discovery":"subscribe","Categories":[{"Name":"feed","Aim":1,"GiveUp":2,"Credit":1,"Effect":"safe"}],
	"Limits":{"AttemptsCap":1,"ConnectTimeout":1,"MaxOpen":1,"MaxRetryAfter":1},
	"Invariants":{"AnswerSlack":0,"AskEvery":1,"Cold":1,"ColdFrom":1,"DrainGrace":1,"Fall":1,"OverloadFactor":1}}`

// TestVersionMemoryLimit prepares a version under several memory limits. It must be rejected unless the limit leaves a quarter of
// the peak free, and a limit that does so must suffice.
func TestVersionMemoryLimit(t *testing.T) {
	var routes []string
	for i := range 20_000 {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","match":{"key":{"exact":["k%[1]d"]}},"to":[{"pool":"a","ppm":1000000}]}`, i))
	}
	body := fleetconfig.Body{Settings: stdjson.RawMessage(plainSettings),
		Routing: stdjson.RawMessage(`{"pools":[{"name":"a"}],"routes":[` + strings.Join(routes, ",") + `]}`)}
	version := fleetconfig.Version{Number: 2, Digest: body.Digest(), Body: body}
	text, err := stdjson.Marshal(version)
	if err != nil {
		t.Fatal(err)
	}
	table, err := routing.New(routing.Set{Pools: []routing.Pool{{Name: "a"}}})
	if err != nil {
		t.Fatal(err)
	}
	prepare := func(limitBytes uint64) (*preparedVersion, fleetconfig.Rejection) {
		t.Helper()
		job := preparation{
			version:    fleetconfig.PrepareVersion{Number: 2, Digest: version.Digest},
			text:       text,
			table:      table,
			limitBytes: limitBytes,
		}
		prepared, err := job.run()
		var rejection rejectionError
		if err != nil && !asRejection(err, &rejection) {
			t.Fatal(err)
		}
		return prepared, rejection.Rejection
	}
	prepared, _ := prepare(0)
	if prepared == nil {
		t.Fatal("version rejected without a limit")
	}
	estimator := memestimate.New()
	peak := estimator.SwitchPeak(estimator.Table(&table.Set), prepared.estimate, len(text))
	prepared = nil // so that it is not in memory together with the next one
	_, rejection := prepare(1)
	want := memestimate.RequiredBytes(rejection.EstimatedBytes-peak-peak/4, peak)
	cause := fmt.Sprintf("needs a heap limit of %d bytes; the limit is 1", rejection.EstimatedBytes)
	if rejection.Kind != errVersionTooLarge.Name || rejection.EstimatedBytes != want || !strings.Contains(rejection.Cause, cause) {
		t.Fatalf("rejection %+v for a peak of %d", rejection, peak)
	}
	// The rest of the live heap differs between runs by far less than an eighth of this peak.
	_, tooLow := prepare(rejection.EstimatedBytes - peak/8)
	if tooLow.Kind != errVersionTooLarge.Name || tooLow.EstimatedBytes <= tooLow.LimitBytes {
		t.Errorf("a limit of 1.125 times the peak: rejection %+v", tooLow)
	}
	if prepared, rejection := prepare(rejection.EstimatedBytes + peak/8); prepared == nil {
		t.Errorf("a limit of 1.375 times the peak: rejection %+v", rejection)
	}
}

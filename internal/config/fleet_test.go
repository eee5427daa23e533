package config

import (
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/testing/testkit"
	jsoniter "github.com/json-iterator/go"
)

// TestFleetRecord checks the decoding of records with and without each optional member.
func TestFleetRecord(t *testing.T) {
	for record, want := range map[string]*Fleet{
		``: nil,
		`{"keepers":["127.0.0.1:1","[::1]:2"]}`: {ControlPlane: []string{"127.0.0.1:1", "[::1]:2"}, Node: "n0",
			Terms: fleetconfig.Terms{AgreementTimeout: 2 * time.Second, MemberTimeout: 10 * time.Second, OnLeaseExpiry: fleetconfig.RejectOnExpiry, ClockDriftPPM: 1000}},
		`{"keepers":["127.0.0.1:1"],"node":"x","mesh":"dakar","agree_within_ms":500,"know_for_ms":900,"on_silence":"serve","clock_drift_ppm":50,"memory_mb":64}`: {
			ControlPlane: []string{"127.0.0.1:1"}, Node: "x", Mesh: "dakar", MemoryMB: 64,
			Terms: fleetconfig.Terms{AgreementTimeout: 500 * time.Millisecond, MemberTimeout: 900 * time.Millisecond, OnLeaseExpiry: fleetconfig.ServeOnExpiry, ClockDriftPPM: 50}},
		`{"keepers":["127.0.0.1:1"],"agree_within_ms":20000}`: {ControlPlane: []string{"127.0.0.1:1"}, Node: "n0",
			Terms: fleetconfig.Terms{AgreementTimeout: 20 * time.Second, MemberTimeout: 20 * time.Second, OnLeaseExpiry: fleetconfig.RejectOnExpiry, ClockDriftPPM: 1000}},
		`{"keepers":["127.0.0.1:1"],"node":"` + strings.Repeat("n", fleetconfig.MaxNodeNameBytes) + `"}`: {ControlPlane: []string{"127.0.0.1:1"},
			Node:  strings.Repeat("n", 255),
			Terms: fleetconfig.Terms{AgreementTimeout: 2 * time.Second, MemberTimeout: 10 * time.Second, OnLeaseExpiry: fleetconfig.RejectOnExpiry, ClockDriftPPM: 1000}},
	} {
		got, err := decodeFleet(jsoniter.RawMessage(record), "n0")
		if err != nil {
			t.Errorf("%s: %v", record, err)
		}
		testkit.Equal(t, record, want, got)
	}
}

// TestFleetRecordErrors checks that each error names its member and has a resolution.
func TestFleetRecordErrors(t *testing.T) {
	for record, want := range map[string]string{
		`null`:                         "the record is null",
		`[]`:                           "fleet: ",
		`{}`:                           "fleet.keepers: 0 addresses",
		`{"keepers":["k"]}`:            `fleet.keepers[0]: "k" is not a numeric`,
		`{"keepers":["127.0.0.1:0"]}`:  `"127.0.0.1:0" is not a numeric`,
		`{"keepers":["localhost:70"]}`: `"localhost:70" is not a numeric`,
		`{"keepers":["127.0.0.1:1","127.0.0.1:1"]}`:                                                        `fleet.keepers[1]: "127.0.0.1:1" is listed twice`,
		`{"keepers":["127.0.0.1:1"],"agree_within":2}`:                                                     "agree_within",
		`{"keepers":["127.0.0.1:1"],"agree_within_ms":0}`:                                                  "fleet.agree_within_ms: 0",
		`{"keepers":["127.0.0.1:1"],"know_for_ms":99999999999}`:                                            "fleet.know_for_ms: 99999999999",
		`{"keepers":["127.0.0.1:1"],"agree_within_ms":3000,"know_for_ms":20}`:                              "fleet: know is 20ms, under within",
		`{"keepers":["127.0.0.1:1"],"on_silence":"stop"}`:                                                  `"stop"`,
		`{"keepers":["127.0.0.1:1"],"on_silence":""}`:                                                      "fleet.on_silence: it is empty",
		`{"keepers":["127.0.0.1:1"],"clock_drift_ppm":-1}`:                                                 "drift is -1",
		`{"keepers":["127.0.0.1:1"],"clock_drift_ppm":0}`:                                                  "fleet.clock_drift_ppm: ",
		`{"keepers":["127.0.0.1:1"],"memory_mb":-1}`:                                                       "fleet.memory_mb: -1",
		`{"keepers":["127.0.0.1:1"],"mesh":"a.b"}`:                                                         `fleet.mesh: "a.b"`,
		`{"keepers":["127.0.0.1:1"],"mesh":""}`:                                                            `fleet.mesh: ""`,
		`{"keepers":["127.0.0.1:1"],"node":"` + strings.Repeat("n", fleetconfig.MaxNodeNameBytes+1) + `"}`: "over 255 bytes",
		`{"keepers":["127.0.0.1:1"],"node":"a b"}`:                                                         `fleet.node: "a b"`,
		`{"keepers":["127.0.0.1:1"],"node":""}`:                                                            `fleet.node: ""`,
	} {
		_, err := decodeFleet(jsoniter.RawMessage(record), "n0")
		if err == nil || !strings.Contains(err.Error(), want) || len(apperror.Resolutions(err)) == 0 {
			t.Errorf("%s: error %v with resolutions %q, want %q", record, err, apperror.Resolutions(err), want)
		}
	}
}

package simwire

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"example.org/micafront/balancer"
)

const microsecond = time.Microsecond

func decodeOne(t *testing.T, event string) Input {
	t.Helper()
	batch, err := Decode([]byte(`{"AtTime":8.41225,"frame":12,"news":[` + event + `]}`))
	if err != nil {
		t.Fatalf("%s: %v", event, err)
	}
	if batch.Now != 8412250*microsecond || batch.Frame != 12 || len(batch.Inputs) != 1 {
		t.Fatalf("batch %+v", batch)
	}
	return batch.Inputs[0]
}

func TestDecodeEvents(t *testing.T) {
	call := balancer.Request{ID: "t/a", Class: "c", Group: "tpl/g", Key: "acct/k", Deadline: 8652250 * microsecond, LoadHint: 0.012}
	for _, c := range []struct {
		text string
		want balancer.Event
	}{
		{`{"Call":{"Node":3,"Rid":"t/a","Predicted":0.012,"Grade":"c","ValidUntil":8.65225,"Group":"tpl/g","StateBits":1,"PartitionKey":"acct/k"}}`, call},
		{`{"Call":{"Node":3,"Rid":"t/a","Predicted":5,"Grade":"c","ValidUntil":1,"StateBits":26,"Realm":"ten","NewKey":[1]}}`,
			balancer.Request{ID: "t/a", Class: "c", Tenant: "ten", Deadline: time.Second, Resumed: true, ClientRetry: true, Returning: true}},
		{`{"Call":{"Node":3,"Rid":"t/a","Grade":"c","ValidUntil":1,"Realm":0}}`,
			balancer.Request{ID: "t/a", Class: "c", Deadline: time.Second}},
		{`{"Adopted":{"Node":3,"Rid":"t/a","Grade":"c","Group":"tpl/g","Host":"h:1","StateBits":1,"ValidUntil":8.65225,"PartitionKey":"acct/k","Predicted":0.012}}`,
			balancer.Adopted{Request: call, Endpoint: "h:1"}},
		{`{"TimedOutClient":{"Node":3,"Rid":"t/a"}}`, balancer.ClientDisconnected{ID: "t/a"}},
		{`{"UpdateOf":{"Node":3,"Rid":"t/a","SendNo":2,"Host":"h:1","Kind":1,"Level":1500}}`,
			balancer.LoadChanged{ID: "t/a", Endpoint: "h:1", Attempt: 2, Load: 0.0015}},
		{`{"UpdateOf":{"Node":3,"Rid":"t/a","SendNo":2,"Host":"h:1","Kind":2,"Level":0.5}}`,
			balancer.LatencyChanged{ID: "t/a", Endpoint: "h:1", Attempt: 2, Latency: 500 * microsecond}},
		{`{"UpdateOf":{"Node":3,"Rid":"t/a","SendNo":2,"Host":"h:1","Kind":9,"Level":0.5}}`, nil},
		{`{"Health":{"Node":3,"Host":"h:1","DelaySeen":0.0014,"StateCode":"delivered","Feedback":{"x0":0.5}}}`,
			balancer.HealthCheckResult{Endpoint: "h:1", Latency: 1400 * microsecond, Load: balancer.LoadReport{"x0": 0.5}}},
		{`{"Mail":{"Node":3,"By":2,"Content":"hi 7"}}`, balancer.PeerMessage{From: 2, Data: "hi 7"}},
		{`{"AckFirst":{"Node":3,"Rid":"t/a","Host":"h:1","SendNo":0,"DelaySeen":0.00925}}`,
			balancer.Established{ID: "t/a", Endpoint: "h:1", Latency: 9250 * microsecond}},
		{`{"Reminder":{"Node":3,"Label":"sweep"}}`, balancer.Timer{Token: "sweep"}},
		{`{"Result":{"Node":3,"Rid":"t/a","NoMore":true,"SendNo":1,"StateCode":"dropped","Host":"h:1","DelaySeen":0.0185}}`,
			balancer.AttemptEnded{ID: "t/a", Endpoint: "h:1", Attempt: 1, Status: balancer.Reset, Latency: 18500 * microsecond, Final: true}},
		{`{"Endpoints":{"Node":3,"How":"INCREMENTAL","SeqNo":41,"Items":[{"StartedAt":6.1,"StageState":"cordoned","Host":"h:1","Size":1.5,"Kind":"k","Cell":2,"Campus":"z"}]}}`,
			balancer.EndpointUpdate{Kind: balancer.DeltaList, Version: 41, Entries: []balancer.Endpoint{
				{ID: "h:1", Phase: balancer.Draining, StartedAt: 6100 * time.Millisecond, Size: 1.5, Zone: "z", Cell: 2}}}},
		{`{"Endpoints":{"Node":3,"How":"FAILED"}}`, balancer.EndpointUpdate{Kind: balancer.ListFailed}},
		{` { "Reminder" : {"Label":"x","Node":3} } `, balancer.Timer{Token: "x"}},
	} {
		input := decodeOne(t, c.text)
		if input.Node != 3 || input.Kill || input.Start != nil || !reflect.DeepEqual(input.Event, c.want) {
			t.Errorf("%s:\n got %#v\nwant %#v", c.text, input.Event, c.want)
		}
	}
	if input := decodeOne(t, `{"CrashNow":{"Node":3}}`); !input.Kill || input.Node != 3 {
		t.Errorf("kill: %+v", input)
	}
}

func TestDecodeAllStatuses(t *testing.T) {
	for name, want := range statuses {
		input := decodeOne(t, `{"Result":{"Node":1,"Rid":"r","SendNo":0,"Host":"h","StateCode":"`+name+`"}}`)
		if got := input.Event.(balancer.AttemptEnded).Status; got != want {
			t.Errorf("%s: %v", name, got)
		}
	}
	neverExecuted := map[string]bool{"shed": true, "dial_failed": true, "unused": true}
	for name, status := range statuses {
		if status.NeverExecuted() != neverExecuted[name] {
			t.Errorf("%s: NeverExecuted %v", name, status.NeverExecuted())
		}
	}
}

func TestDecodeSettings(t *testing.T) {
	text, err := os.ReadFile("testdata/configure.json")
	if err != nil {
		t.Fatal(err)
	}
	start := decodeOne(t, string(text)).Start
	settings := start.Settings
	if start.Seed != 5138197539985895 || settings.Nodes != 7 || settings.NodeIndex != 2 || settings.Zone != "east" || !settings.Subscribe || !settings.PassThrough {
		t.Errorf("%+v", start)
	}
	want := balancer.Class{Name: "slow", LatencyObjective: 500 * time.Millisecond, Timeout: 2 * time.Second, MessageObjective: 100 * time.Millisecond,
		PriorityWeight: 2, Idempotency: balancer.IdempotentByKey, DedupScope: balancer.ScopeCell, DedupWindow: 5 * time.Second}
	if len(settings.Classes) != 2 || settings.Classes[1] != want {
		t.Errorf("classes %+v", settings.Classes)
	}
	if len(settings.Tenants) != 1 || settings.Tenants[0] != (balancer.Tenant{Name: "t", PerSecond: 12.5, Share: 0.4, Connections: 30}) {
		t.Errorf("tenants %+v", settings.Tenants)
	}
	if settings.Limits != (balancer.Limits{Attempts: 3, ConnectTimeout: 200 * time.Millisecond, MaxRetryAfter: time.Second, MaxOpen: 9,
		RetryAfter: true, HealthChecks: true, Cancel: true}) {
		t.Errorf("limits %+v", settings.Limits)
	}
	if settings.Rules != (balancer.Rules{AnswerSlack: 20 * time.Millisecond, DiscoveryInterval: 10 * time.Second, WarmUp: 24 * time.Second, InitialCapacity: 0.15,
		DrainGrace: 250 * time.Millisecond, OverloadWindow: 2 * time.Second, OverloadFactor: 3}) {
		t.Errorf("rules %+v", settings.Rules)
	}
}

func TestDecodeErrorsNameEventAndMember(t *testing.T) {
	for text, want := range map[string]string{
		`hello`:                  "not valid JSON",
		`{"frame":1,"news":[]}`:  "AtTime is missing",
		`{"AtTime":1,"news":[]}`: "frame is missing",
		`{"AtTime":1,"frame":5,"news":[{"Call":{"Node":1}}]}`:                                                     "frame 5, event 0: Call: member Rid",
		`{"AtTime":1,"frame":5,"news":[{"Call":{"Rid":"x"}}]}`:                                                    "member Node",
		`{"AtTime":1,"frame":5,"news":[{"Nonsense":{"Node":1}}]}`:                                                 `unknown event "Nonsense"`,
		`{"AtTime":1,"frame":5,"news":[7]}`:                                                                       "single key",
		`{"AtTime":1,"frame":5,"news":[{"A":{},"B":{}}]}`:                                                         "single key",
		`{"AtTime":1,"frame":5,"news":[{"Result":{"Node":1,"Rid":"r","SendNo":0,"Host":"h","StateCode":"odd"}}]}`: "unknown StateCode",
		`{"AtTime":1,"frame":5,"news":[{"Endpoints":{"Node":1,"How":"ODD"}}]}`:                                    "unknown How",
		`{"AtTime":1,"frame":5,"news":[{"Endpoints":{"Node":1,"How":"FULL","Items":[{"Host":"h"}]}}]}`:            "entry 0",
	} {
		if _, err := Decode([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q", text, err, want)
		}
	}
}

package simwire

import (
	"encoding/json"
	"testing"
	"time"

	"example.org/micafront/balancer"
)

func TestEncodeActions(t *testing.T) {
	reply := NewReply(12)
	for _, action := range []balancer.Action{
		balancer.Send{ID: "t/a", Endpoint: "h:1", Timeout: 80 * time.Millisecond},
		balancer.Send{ID: "t/a", Endpoint: "h:1"},
		balancer.Reject{ID: "t/a", RetryAfter: 250 * time.Millisecond},
		balancer.Reject{ID: "t/a"},
		balancer.Fail{ID: "t/a"},
		balancer.Cancel{ID: "t/a", Attempt: 1},
		balancer.SetTimer{Token: "sweep", Delay: 1234567 * microsecond},
		balancer.Migrate{ID: "t/a"},
		balancer.HealthCheck{Endpoint: "h:1"},
		balancer.CloseIdleConnections{Endpoint: "h:1"},
		balancer.Watch{On: true},
		balancer.FetchEndpoints{},
		balancer.SendToPeer{To: -1, Data: "hi"},
		balancer.Log{Text: "a \"b\"\n"},
	} {
		if err := reply.Add(3, action); err != nil {
			t.Fatal(err)
		}
	}
	reply.AddFailure(4, "index out of range")
	want := `{"frame":12,"output":[{"HandOff":{"Node":3,"Rid":"t/a","Host":"h:1","Limit":0.08}},` +
		`{"HandOff":{"Node":3,"Rid":"t/a","Host":"h:1"}},{"Reject":{"Node":3,"Rid":"t/a","NotBeforeFor":0.25}},` +
		`{"Reject":{"Node":3,"Rid":"t/a"}},{"Lose":{"Node":3,"Rid":"t/a"}},{"UndoSend":{"Node":3,"Rid":"t/a","SendNo":1}},` +
		`{"Arm":{"Node":3,"Delay":1.234567,"Label":"sweep"}},{"Migrate":{"Node":3,"Rid":"t/a"}},` +
		`{"HealthCheck":{"Node":3,"Host":"h:1"}},{"FreeLinks":{"Node":3,"Host":"h:1"}},{"Watch":{"Node":3,"Enable":true}},` +
		`{"ReadList":{"Node":3}},{"Notify":{"Node":3,"Peer":-1,"Content":"hi"}},{"Emit":{"Node":3,"ReasonText":"a \"b\"\n"}},` +
		`{"Broken":{"Node":4,"ReasonText":"index out of range"}}]}` + "\n"
	got := string(reply.Line())
	if got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	if !json.Valid([]byte(got)) {
		t.Error("the reply is not valid JSON")
	}
	if empty := string(NewReply(1).Line()); empty != `{"frame":1,"output":[]}`+"\n" {
		t.Errorf("empty reply %q", empty)
	}
}

func TestTimesRoundTrip(t *testing.T) {
	for _, want := range []time.Duration{118737586435 * microsecond, 1 * microsecond, 999999 * microsecond, 4_000_000_000_001 * microsecond} {
		reply := NewReply(1)
		if err := reply.Add(0, balancer.SetTimer{Token: "x", Delay: want}); err != nil {
			t.Fatal(err)
		}
		var decoded struct {
			Output []struct{ Arm struct{ Delay float64 } } `json:"output"`
		}
		if err := json.Unmarshal(reply.Line(), &decoded); err != nil {
			t.Fatal(err)
		}
		if got := Seconds(decoded.Output[0].Arm.Delay); got != want {
			t.Errorf("%v was decoded as %v", want, got)
		}
	}
}

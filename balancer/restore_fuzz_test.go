package balancer

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// balancerInUse returns a Balancer that has handled requests, so that its state contains endpoints, requests and failures.
func balancerInUse(t testing.TB) *Balancer {
	t.Helper()
	b := startBalancer(t, testSettings(), testEndpoints(5), 7)
	now := 2 * sec
	for i := range 12 {
		req := testRequest(i, now)
		for _, send := range actionsOf[Send](b.Handle(now, req)) {
			switch i % 4 {
			case 0:
				b.Handle(now, Established{ID: send.ID, Endpoint: send.Endpoint})
			case 1:
				b.Handle(now, AttemptEnded{ID: send.ID, Endpoint: send.Endpoint, Status: Reset})
			}
		}
		now += 100 * ms
	}
	b.Handle(now, EndpointUpdate{Kind: DeltaList, Entries: []Endpoint{{ID: endpointID(1), Phase: Draining, Size: 1, Zone: "z1"}}})
	return b
}

// exerciseBalancer passes ordinary events to a restored Balancer, which must neither panic nor hang.
func exerciseBalancer(b *Balancer, now Instant) {
	watchdog := time.AfterFunc(20*time.Second, func() { panic("the balancer did not handle the events within 20 s") })
	defer watchdog.Stop()
	b.Handle(now, EndpointUpdate{Kind: FullList, Entries: testEndpoints(4)})
	for i := range 8 {
		now += 300 * ms
		for _, send := range actionsOf[Send](b.Handle(now, testRequest(100+i, now))) {
			b.Handle(now, Established{ID: send.ID, Endpoint: send.Endpoint})
		}
		b.Handle(now, Timer{Token: watchTimer})
	}
	b.State()
}

// FuzzResume checks that Resume either rejects an arbitrary state or results in a Balancer that works.
func FuzzResume(f *testing.F) {
	text, err := json.Marshal(balancerInUse(f).State())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	for _, seed := range []string{`{}`, `{"Gate":1}`, `{"Gate":1,"Table":{"Owner":[0],"Counts":[1],"Unit":1}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var state State
		if json.Unmarshal(text, &state) != nil {
			return
		}
		b, err := New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := b.Resume(4*sec, state); err == nil {
			exerciseBalancer(b, 4*sec)
		}
	})
}

// FuzzRestore checks that Restore either rejects an arbitrary snapshot or returns a Balancer that works.
func FuzzRestore(f *testing.F) {
	text, err := json.Marshal(balancerInUse(f).Snapshot())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(fmt.Sprintf(`{"Version":%d}`, SnapshotVersion)))
	f.Fuzz(func(_ *testing.T, text []byte) {
		var snapshot Snapshot
		if json.Unmarshal(text, &snapshot) != nil {
			return
		}
		if b, err := Restore(snapshot); err == nil {
			exerciseBalancer(b, max(snapshot.Now, 4*sec))
		}
	})
}

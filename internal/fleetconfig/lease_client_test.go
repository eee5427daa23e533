package fleetconfig

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/testing/testkit"
)

const ms = time.Millisecond

// clientScript is a LeaseClient whose renewals a test answers. It summarizes the actions as text.
type clientScript struct {
	*LeaseClient
	t        *testing.T
	now      time.Duration
	renewal  SendRenewal // the latest one
	renewals int         // sent so far
	timerAt  time.Duration
	sentAt   time.Duration // when the latest renewal was sent
}

func newClientScript(t *testing.T, ownTerms Terms) *clientScript {
	client := &clientScript{LeaseClient: NewLeaseClient("n", 1, ownTerms), t: t, now: 1000 * second}
	client.handle(client.now, Tick{})
	return client
}

func (c *clientScript) handle(at time.Duration, e Event) string {
	c.now = at
	var summary []string
	for _, a := range c.Handle(at, e) {
		switch a := a.(type) {
		case SendRenewal:
			c.renewal, c.sentAt, c.renewals = a, at, c.renewals+1
			summary = append(summary, "renew")
		case PrepareVersion:
			summary = append(summary, fmt.Sprint("prepare ", a.Number))
		case SwitchVersion:
			summary = append(summary, fmt.Sprint("switch ", a.Number))
		case DiscardVersion:
			summary = append(summary, fmt.Sprint("discard ", a.Number))
		case StatusChanged:
			if a.Description == "" {
				c.t.Errorf("state %s is reported without a description", a.State)
			}
			summary = append(summary, string(a.State))
		case SetTimer:
			c.timerAt = a.At
		}
	}
	return strings.Join(summary, ", ")
}

// grant answers the renewal in progress.
func (c *clientScript) grant(at time.Duration, lease Lease) string {
	lease.Node, lease.Incarnation, lease.Seq, lease.Term = "n", 1, c.renewal.Renewal.Seq, 1
	if lease.Terms == (Terms{}) {
		lease.Terms, _ = Terms{}.WithDefaults("")
	}
	return c.handle(at, LeaseGranted{lease, c.sentAt})
}

// awaitRenewal advances the time until the client sends its next renewal.
func (c *clientScript) awaitRenewal() {
	c.t.Helper()
	for n := c.renewals; n == c.renewals; c.handle(c.timerAt, Tick{}) {
		if c.timerAt < c.now {
			c.t.Fatal("the client sends no renewal")
		}
	}
}

func (c *clientScript) expect(what, want, got string) {
	c.t.Helper()
	testkit.Equal(c.t, what, want, got)
}

// clientAtVersion1 returns a client that acts on version 1, with a lease whose renewal was sent at 1000 s.
func clientAtVersion1(t *testing.T, terms Terms) *clientScript {
	client := newClientScript(t, Terms{})
	terms, err := terms.WithDefaults("")
	if err != nil {
		t.Fatal(err)
	}
	client.expect("first", "prepare 1", client.grant(client.now, Lease{ActiveVersion: 1, Terms: terms}))
	client.expect("prepared", "switch 1, leased, renew", client.handle(client.now, PrepareDone{Number: 1}))
	client.expect("granted", "", client.grant(client.now, Lease{ActiveVersion: 1, Terms: terms}))
	return client
}

func TestLeaseClientSwitchesVersions(t *testing.T) {
	client := clientAtVersion1(t, Terms{})
	client.awaitRenewal()
	client.expect("proposed", "prepare 2", client.grant(client.now, Lease{ActiveVersion: 1, ProposedVersion: 2}))
	client.awaitRenewal()
	client.expect("still", "", client.grant(client.now, Lease{ActiveVersion: 1, ProposedVersion: 2}))
	client.expect("prepared, reported at once", "renew", client.handle(client.now+ms, PrepareDone{Number: 2}))
	testkit.Equal(t, "reported", uint64(2), client.renewal.Renewal.PreparedVersion)
	client.expect("active", "switch 2", client.grant(client.now, Lease{ActiveVersion: 2}))
	client.awaitRenewal()
	client.expect("another", "prepare 3", client.grant(client.now, Lease{ActiveVersion: 2, ProposedVersion: 3}))
	client.expect("prepared", "renew", client.handle(client.now+ms, PrepareDone{Number: 3}))
	client.expect("withdrawn, another proposed", "discard 3, prepare 4", client.grant(client.now, Lease{ActiveVersion: 2, ProposedVersion: 4}))
	client.awaitRenewal()
	client.expect("withdrawn while in preparation", "discard 4", client.grant(client.now, Lease{ActiveVersion: 2}))
	client.expect("late outcome is ignored", "", client.handle(client.now+ms, PrepareDone{Number: 4}))
	client.awaitRenewal()
	client.expect("behind", "prepare 7", client.grant(client.now, Lease{ActiveVersion: 7, ProposedVersion: 8}))
	client.awaitRenewal()
	testkit.Equal(t, "active version", uint64(2), client.renewal.Renewal.ActiveVersion)
	client.expect("prepared", "switch 7, prepare 8", client.handle(client.now+ms, PrepareDone{Number: 7}))
	status := client.Status(client.now)
	if status.LeaseRemaining <= 0 {
		t.Errorf("the lease expired %v ago", -status.LeaseRemaining)
	}
	status.LeaseRemaining = 0
	testkit.Equal(t, "status", LeaseStatus{State: Leased, ActiveVersion: 7, Switches: 3}, status)
}

func TestLeaseClientRejectsVersions(t *testing.T) {
	client := clientAtVersion1(t, Terms{})
	client.awaitRenewal()
	client.expect("proposed", "prepare 2", client.grant(client.now, Lease{ActiveVersion: 1, ProposedVersion: 2, Forced: true}))
	client.expect("rejected", "renew", client.handle(client.now+ms, PrepareDone{2, &Rejection{Kind: "k"}}))
	if r := client.renewal.Renewal; r.RejectedVersion != 2 || r.Rejection == nil || r.PreparedVersion != 0 {
		t.Errorf("the client reports %+v", r)
	}
	client.expect("not tried again at once", "", client.grant(client.now, Lease{ActiveVersion: 1, ProposedVersion: 2, Forced: true}))
	end := client.sentAt + client.latestLease.Terms.LeaseDuration()
	client.awaitRenewal()
	client.expect("a forced version may be active once the lease expired", "blind, renew", client.handle(end, RenewalFailed{client.renewal.Renewal.Seq}))
	testkit.Equal(t, "retry after the answer timeout", Authorization{false, client.answerTimeout(), Disconnected}, client.Authorize(end, nil))
	client.expect("forced", "stranded", client.grant(end, Lease{ActiveVersion: 2, Excluded: true}))
	testkit.Equal(t, "excluded, so rejected", Authorization{false, client.renewalInterval(), Excluded}, client.Authorize(end, nil))
	client.expect("more headroom", "prepare 2", client.handle(end+ms, HeadroomChanged{MemoryHeadroom{Limit: 9}}))
	client.expect("prepared", "switch 2, leased, renew", client.handle(end+2*ms, PrepareDone{Number: 2}))
	reported := Renewal{Node: "n", Incarnation: 1, Seq: client.seq, FirstUnanswered: client.seq, ActiveVersion: 2, Headroom: MemoryHeadroom{Limit: 9}}
	testkit.Equal(t, "headroom is reported", reported, client.renewal.Renewal)

	client = clientAtVersion1(t, Terms{})
	client.awaitRenewal()
	client.grant(client.now, Lease{ActiveVersion: 1, ProposedVersion: 2})
	client.handle(client.now+ms, PrepareDone{2, &Rejection{Kind: "k"}})
	client.grant(client.now, Lease{ActiveVersion: 1, ProposedVersion: 2})
	testkit.Equal(t, "a version that is not forced cannot become active without this process", Authorization{Allowed: true, State: Expired}, client.Authorize(client.now+3*second, nil))
	client.expect("tried again later", "prepare 2, blind, renew", client.handle(client.now+rejectedRetryInterval, Tick{}))
}

func TestAuthorize(t *testing.T) {
	reject, _ := Terms{}.WithDefaults("")
	serve, _ := Terms{OnLeaseExpiry: ServeOnExpiry}.WithDefaults("")
	unchanged := func(*clientScript) {}
	proposed := func(s *clientScript) {
		s.awaitRenewal()
		s.grant(s.now, Lease{ActiveVersion: 1, ProposedVersion: 2, Terms: s.latestLease.Terms})
	}
	prepared := func(s *clientScript) {
		proposed(s)
		s.handle(s.now, PrepareDone{Number: 2})
	}
	superseded := func(s *clientScript) {
		proposed(s)
		s.awaitRenewal()
		s.grant(s.now, Lease{ActiveVersion: 3, Terms: s.latestLease.Terms})
	}
	rejected := func(s *clientScript) {
		superseded(s)
		s.handle(s.now, PrepareDone{3, &Rejection{Kind: "k"}})
	}
	for name, c := range map[string]struct {
		terms     Terms
		setUp     func(*clientScript)
		after     time.Duration // from when the renewal of the lease on the client's active version was sent
		conflicts bool
		allowed   bool
		state     LeaseState
	}{
		"leased":                                       {reject, unchanged, reject.LeaseDuration() - 1, true, true, Leased},
		"leased, and a version is prepared":            {reject, prepared, reject.LeaseDuration() - 1, true, true, Leased},
		"no other version can be active":               {reject, unchanged, reject.LeaseDuration(), true, true, Expired},
		"proposed version is not acknowledged":         {reject, proposed, reject.LeaseDuration(), true, true, Expired},
		"conflicts with the prepared version":          {reject, prepared, reject.LeaseDuration(), true, false, Expired},
		"does not conflict with the prepared version":  {reject, prepared, reject.LeaseDuration(), false, true, Expired},
		"just before it disconnects":                   {reject, prepared, reject.KnowledgeDuration() - 1, false, true, Expired},
		"disconnected, rejects":                        {reject, prepared, reject.KnowledgeDuration(), false, false, Disconnected},
		"disconnected, serves":                         {serve, prepared, serve.KnowledgeDuration(), true, true, Disconnected},
		"expired, serves only when disconnected":       {serve, prepared, serve.KnowledgeDuration() - 1, true, false, Expired},
		"superseded, lease unexpired":                  {reject, superseded, 0, true, true, Leased},
		"superseded, lease expired":                    {reject, superseded, reject.LeaseDuration(), false, false, Disconnected},
		"superseded, serves":                           {serve, superseded, reject.LeaseDuration(), true, true, Disconnected},
		"cannot load the active version":               {reject, rejected, reject.LeaseDuration(), false, false, Excluded},
		"cannot load the active version, serve policy": {serve, rejected, serve.KnowledgeDuration(), false, false, Excluded},
		"draining with a lease":                        {serve, func(s *clientScript) { s.handle(s.now, StartDrain{}) }, 0, false, false, Draining},
	} {
		t.Run(name, func(t *testing.T) {
			s := clientAtVersion1(t, c.terms)
			c.setUp(s)
			at := s.sentAt + c.after
			if s.latestLease.ActiveVersion != 1 { // an earlier renewal brought the lease on the client's active version
				at = s.leaseExpiry - reject.LeaseDuration() + c.after
			}
			got := s.Authorize(at, func() bool { return c.conflicts })
			if got.Allowed != c.allowed || got.State != c.state || (got.RetryAfter > 0) == got.Allowed || got.RetryAfter > maxRetryAfter {
				t.Errorf("got %+v, want allowed %v in state %q", got, c.allowed, c.state)
			}
			served := uint64(0)
			if c.allowed && c.state == Disconnected {
				served = 1
			}
			testkit.Equal(t, "served while disconnected", served, s.Status(at).ServedDisconnected)
		})
	}
	for policy, after := range map[LeaseExpiryPolicy]map[time.Duration]bool{
		RejectOnExpiry: {0: false, time.Hour: false},
		ServeOnExpiry:  {0: false, 10*second - 1: false, 10 * second: true},
	} {
		for d, allowed := range after {
			s := newClientScript(t, Terms{OnLeaseExpiry: policy})
			if got := s.Authorize(s.now+d, nil); got.Allowed != allowed || got.State != Starting {
				t.Errorf("starting, policy %q, after %v: got %+v, want allowed %v", policy, d, got, allowed)
			}
		}
	}
	s := newClientScript(t, Terms{OnLeaseExpiry: ServeOnExpiry})
	s.handle(s.now+8*second, RenewalFailed{s.seq})
	s.grant(s.now, Lease{ActiveVersion: 1})
	if got := s.Authorize(s.sentAt+10*second-1, nil); got.Allowed {
		t.Error("the client serves by its own settings although a lease named a version")
	}
}

func TestInvalidLeasesAreIgnored(t *testing.T) {
	valid := func(client *clientScript) Lease {
		return Lease{Node: "n", Incarnation: 1, Seq: client.seq, Term: 1, ActiveVersion: 1, Terms: client.latestLease.Terms}
	}
	for name, change := range map[string]func(*clientScript, *LeaseGranted){
		"answers an earlier renewal":                func(_ *clientScript, g *LeaseGranted) { g.Lease.Seq-- },
		"for another process":                       func(_ *clientScript, g *LeaseGranted) { g.Lease.Incarnation = 2 },
		"for another node":                          func(_ *clientScript, g *LeaseGranted) { g.Lease.Node = "m" },
		"sent before the renewal":                   func(_ *clientScript, g *LeaseGranted) { g.SentAt-- },
		"sent in the future":                        func(client *clientScript, g *LeaseGranted) { g.SentAt = client.now + ms + 1 },
		"of an earlier term":                        func(_ *clientScript, g *LeaseGranted) { g.Lease.Term = 0 },
		"earlier active version":                    func(_ *clientScript, g *LeaseGranted) { g.Lease.ActiveVersion = 0 },
		"proposed version not above the active one": func(_ *clientScript, g *LeaseGranted) { g.Lease.ProposedVersion = 1 },
		"invalid terms":                             func(_ *clientScript, g *LeaseGranted) { g.Lease.Terms.MemberTimeout = -1 * second },
		"terms that overflow": func(_ *clientScript, g *LeaseGranted) {
			g.Lease.Terms = Terms{AgreementTimeout: 1 << 62, MemberTimeout: 1 << 62}
		},
	} {
		client := clientAtVersion1(t, Terms{})
		client.awaitRenewal()
		e := LeaseGranted{valid(client), client.sentAt}
		before := client.leaseExpiry
		change(client, &e)
		client.handle(client.now+ms, e)
		if client.leaseExpiry != before || client.activeVersion != 1 {
			t.Errorf("%s: the lease expiry changed from %v to %v", name, before, client.leaseExpiry)
		}
		client.handle(client.now, LeaseGranted{valid(client), client.sentAt})
		if client.leaseExpiry != client.sentAt+client.latestLease.Terms.LeaseDuration() {
			t.Errorf("%s: the valid answer that follows is ignored", name)
		}
	}
}

func TestRenewalIntervals(t *testing.T) {
	client := clientAtVersion1(t, Terms{})
	lease := client.latestLease.Terms.LeaseDuration()
	firstSentAt := client.sentAt
	if client.awaitRenewal(); client.sentAt-firstSentAt < lease*7/32 || client.sentAt-firstSentAt > lease/4 {
		t.Errorf("the next renewal is sent %v into a lease of %v, want 7/32 to 1/4 of it", client.sentAt-firstSentAt, lease)
	}
	client.handle(client.now, Tick{})
	testkit.Equal(t, "renewals, one at a time", 3, client.renewals)
	for i := range 2 { // two replicas that do not answer
		client.handle(client.now+client.renewal.Timeout, RenewalFailed{client.renewal.Renewal.Seq})
		testkit.Equal(t, "attempt", i+1, client.renewal.Attempt)
	}
	if left := firstSentAt + lease - client.sentAt; left < lease/3 {
		t.Errorf("the third replica has %v left to answer within the lease", left)
	}
	var pauses []time.Duration
	for client.now < firstSentAt+time.Minute {
		before := client.now
		client.awaitRenewal() // by its own deadline, since no failure is reported
		pauses = append(pauses, client.now-before)
	}
	for i, p := range pauses {
		if p > maxRenewalPause+2*client.answerTimeout() || i > 0 && p < pauses[i-1] && p < 4*second && i > immediateAttempts {
			t.Errorf("pauses between renewals are %v", pauses)
			break
		}
	}
	if n := len(pauses); n > 60 || n < 15 {
		t.Errorf("%d renewals in a minute without replicas, want 15 to 60", n)
	}
	client.grant(client.now, Lease{ActiveVersion: 1})
	status := client.Status(client.now)
	if status.State != Leased || status.Expirations != 1 || client.failures != 0 {
		t.Errorf("status after the next lease is %+v", status)
	}
	other := NewLeaseClient("m", 1, Terms{AgreementTimeout: -1})
	if other.ownTerms.AgreementTimeout != 2*second || other.renewalInterval() == NewLeaseClient("n", 1, Terms{}).renewalInterval() {
		t.Error("two proxies have the same renewal interval, or invalid terms are used")
	}
}

func TestLeaseClientDrains(t *testing.T) {
	client := clientAtVersion1(t, Terms{})
	client.awaitRenewal()
	client.grant(client.now, Lease{ActiveVersion: 1, ProposedVersion: 2})
	client.handle(client.now, PrepareDone{Number: 2})
	client.expect("drain while a renewal is in progress", "discard 2, leaving", client.handle(client.now+ms, StartDrain{}))
	client.expect("answer to a renewal that did not report the drain", "renew", client.grant(client.now+ms, Lease{ActiveVersion: 2}))
	testkit.Equal(t, "reported", Renewal{Node: "n", Incarnation: 1, Seq: client.seq, FirstUnanswered: client.seq, ActiveVersion: 1, Draining: true},
		client.renewal.Renewal)
	first := client.seq
	client.expect("no answer", "renew", client.handle(client.now+second, RenewalFailed{client.seq}))
	testkit.Equal(t, "first unanswered renewal", first, client.renewal.Renewal.FirstUnanswered)
	client.expect("confirmed", "", client.grant(client.now+ms, Lease{ActiveVersion: 2}))
	client.expect("no more renewals", "", client.handle(client.now+time.Hour, Tick{})+client.handle(client.now, StartDrain{}))
}

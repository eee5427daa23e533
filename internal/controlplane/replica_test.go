package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/logging"
	"example.org/micafront/internal/testing/testkit"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"
)

const validSettings = `{"Balancers":1,"Discovery":"subscribe","Zone":"a","Categories":[{"Name":"feed","Aim":30,"GiveUp":60,"Credit":5,
	"Effect":"safe","DedupScope":"all"}],"Limits":{"AttemptsCap":6,"ConnectTimeout":20,"MaxRetryAfter":1,"MaxOpen":100000,
	"RetryAfter":true,"MayCancel":true,"Probes":true},"Invariants":{"AnswerSlack":0.016,"AskEvery":1,"Cold":8.9,"ColdFrom":0.3,
	"DrainGrace":3,"Fall":1,"OverloadFactor":3}}`

// newProposal returns a valid proposal whose routes lead to the given pool.
func newProposal(id, pool string) fleetconfig.Propose {
	routing := fmt.Sprintf(`{"pools":[{"name":%q}],"routes":[{"name":"all","to":[{"pool":%q,"ppm":1000000}]}],"default":"all"}`,
		pool, pool)
	return fleetconfig.Propose{ID: id, Reason: pool, Body: &fleetconfig.Body{Settings: json.RawMessage(validSettings),
		Routing: json.RawMessage(routing)}}
}

// cluster runs replicas on loopback, each with a data directory that survives its restarts.
type cluster struct {
	t             testing.TB
	configs       []Config
	replicas      []*Replica // nil: it is down
	ended         []chan error
	commitTimeout time.Duration
	meshTimeoutMS int // 0: the default
}

func newCluster(t *testing.T, n int, change ...func(*cluster)) *cluster {
	t.Parallel()
	cluster := &cluster{t: t, replicas: make([]*Replica, n), ended: make([]chan error, n), commitTimeout: time.Minute}
	for _, f := range change {
		f(cluster)
	}
	peers := map[string]string{}
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		cluster.must(err)
		listeners = append(listeners, l)
		peers[fmt.Sprint(i+1)] = l.Addr().String()
	}
	for i := range n {
		cluster.configs = append(cluster.configs, Config{ID: uint64(i + 1), Listen: "127.0.0.1:0",
			Data:  filepath.Join(t.TempDir(), "data"),
			Peers: peers, TickMS: 20, MeshTimeoutMS: cluster.meshTimeoutMS})
		cluster.start(i, listeners[i])
	}
	t.Cleanup(func() {
		for i := range cluster.replicas {
			cluster.kill(i)
		}
	})
	return cluster
}

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) start(i int, l net.Listener) {
	c.t.Helper()
	log := logging.New(io.Discard, logging.Plain, 0)
	replica, err := New(c.configs[i], log, l)
	c.must(err)
	replica.commitTimeout = c.commitTimeout
	replica.discovery.timeout.Store(int64(time.Minute)) // a slow machine may be out of contact for long
	c.replicas[i], c.ended[i] = replica, make(chan error, 1)
	go func() { c.ended[i] <- replica.Run(); log.Close() }()
}

// restart starts a replica on its data directory at a new address, and gives the other replicas that address.
func (c *cluster) restart(i int) {
	c.t.Helper()
	l := c.listenAtNewAddress()
	c.configs[0].Peers[fmt.Sprint(i+1)] = l.Addr().String() // one map, shared by all configurations
	c.start(i, l)
	for j, replica := range c.replicas {
		if replica != nil {
			c.must(replica.UpdateAddresses(c.configs[j]))
		}
	}
}

// listenAtNewAddress listens at an address that is not in the configuration. The system may assign the port of a replica that
// was killed and has not been restarted, whose address is still in the configuration.
func (c *cluster) listenAtNewAddress() net.Listener {
	c.t.Helper()
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.must(err)
		if !slices.Contains(slices.Collect(maps.Values(c.configs[0].Peers)), l.Addr().String()) {
			return l
		}
		defer func() { c.must(l.Close()) }() // on return, so that the system does not assign the same port again
	}
}

func (c *cluster) kill(i int) {
	c.t.Helper()
	if replica := c.replicas[i]; replica != nil {
		replica.Kill()
		c.must(<-c.ended[i])
		c.replicas[i] = nil
	}
}

// leader returns the index of the leader, once the running replicas agree on one.
func (c *cluster) leader() int {
	c.t.Helper()
	var leader uint64
	c.until("a leader", func() bool {
		leader = 0
		for _, replica := range c.replicas {
			if replica == nil {
				continue
			}
			var status Status
			c.get(replica, "/v1/status?local=1", &status)
			disagrees := leader != 0 && status.Leader != leader
			if status.Leader == 0 || disagrees || c.replicas[status.Leader-1] == nil {
				return false
			}
			leader = status.Leader
		}
		return true
	})
	return int(leader - 1)
}

func (c *cluster) until(what string, satisfied func() bool) {
	c.t.Helper()
	for end := time.Now().Add(time.Minute); !satisfied(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("waited a minute for %s", what)
		}
	}
}

// awaitVersion waits until a replica has applied a version.
func (c *cluster) awaitVersion(i, number int) (v fleetconfig.Version) {
	c.t.Helper()
	c.until(fmt.Sprintf("version %d at replica %d", number, i+1), func() bool {
		code, _ := c.get(c.replicas[i], fmt.Sprint("/v1/version/", number), &v)
		return code == http.StatusOK
	})
	return v
}

// call sends a request to a replica. A response whose status is not 200 must have an ErrorResponse.
func (c *cluster) call(replica *Replica, method, path string, body []byte, to any) (int, ErrorResponse) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+replica.Addr()+path, bytes.NewReader(body))
	c.must(err)
	resp, err := http.DefaultClient.Do(req)
	c.must(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	c.must(err)
	var response ErrorResponse
	if resp.StatusCode != http.StatusOK {
		if err := json.Unmarshal(text, &response); err != nil || response.Kind == "" || response.Resolution == "" {
			c.t.Fatalf("%s %s: %s without an error response: %q", method, path, resp.Status, text)
		}
		if retry := resp.Header.Get("Retry-After"); (resp.StatusCode == 503) != (retry != "") {
			c.t.Fatalf("%s %s: %s with Retry-After %q", method, path, resp.Status, retry)
		}
	} else if to != nil {
		if err := json.Unmarshal(text, to); err != nil {
			c.t.Fatalf("%s %s: %v in %q", method, path, err, text)
		}
	}
	return resp.StatusCode, response
}

func (c *cluster) get(replica *Replica, path string, to any) (int, ErrorResponse) {
	c.t.Helper()
	return c.call(replica, "GET", path, nil, to)
}

func (c *cluster) post(replica *Replica, path string, value, to any) (int, ErrorResponse) {
	c.t.Helper()
	text, ok := value.([]byte)
	if !ok {
		var err error
		text, err = json.Marshal(value)
		c.must(err)
	}
	return c.call(replica, "POST", path, text, to)
}

// postUntilAvailable repeats a POST while there is no leader, which may happen at any time on a slow machine.
func (c *cluster) postUntilAvailable(replica *Replica, path string, value, to any) (code int, response ErrorResponse) {
	c.t.Helper()
	c.until(path, func() bool {
		code, response = c.post(replica, path, value, to)
		return code != http.StatusServiceUnavailable
	})
	return code, response
}

// propose posts a proposal, which must be committed, and returns the number of its version.
func (c *cluster) propose(replica *Replica, proposal fleetconfig.Propose, query string) uint64 {
	c.t.Helper()
	var response ProposeResponse
	if code, errorResponse := c.postUntilAvailable(replica, "/v1/propose"+query, proposal, &response); code != 200 {
		c.t.Fatalf("%s: %d %+v", proposal.ID, code, errorResponse)
	}
	return response.Number
}

func TestCommittedVersionsSurviveLeaderChanges(t *testing.T) {
	cluster := newCluster(t, 3)
	first := cluster.leader()
	follower := cluster.replicas[(first+1)%3]
	if n := cluster.propose(follower, newProposal("a", "one"), "?wait=active"); n != 1 {
		t.Fatalf("the first version is %d", n)
	}
	if version := cluster.awaitVersion((first+1)%3, 1); version.Number != 1 || version.Reason != "one" ||
		version.Body.Digest() != version.Digest {
		t.Fatalf("version 1 is %+v", version)
	}
	cluster.kill(first)
	if n := cluster.propose(follower, newProposal("b", "two"), "?wait=active"); n != 2 { // waits for the next leader
		t.Fatalf("the second version is %d", n)
	}
	if n := cluster.propose(follower, newProposal("a", "one"), ""); n != 1 {
		t.Fatalf("a repeat of the first proposal got version %d", n)
	}
	cluster.restart(first)
	cluster.awaitVersion(first, 2)
	for i := range cluster.replicas {
		cluster.kill(i)
	}
	for i := range cluster.replicas {
		cluster.restart(i)
	}
	// A replica that has restarted applies what was committed once the next leader has committed an entry of its own term.
	var status Status
	cluster.until("version 2 to be active after a restart of all replicas", func() bool {
		status = Status{}
		code, _ := cluster.get(cluster.replicas[cluster.leader()], "/v1/status", &status)
		return code == http.StatusOK && status.Active != nil && status.Active.Number >= 2
	})
	if status.Active.Number != 2 || status.Active.Reason != "two" {
		t.Fatalf("active version after a restart of all replicas: %+v", status.Active)
	}
	testkit.Equal(t, "replicas in the status", 3, len(status.Replicas))
	want := []string{"1 proposed", "1 active", "2 proposed", "2 active"}
	var steps []string
	cluster.until("the history at the replica that was down", func() bool {
		steps = cluster.history(first)
		return len(steps) >= len(want)
	})
	testkit.Equal(t, "history", want, steps)
}

// history returns the steps of all versions that a replica has applied; none if the replica does not respond in time.
func (c *cluster) history(i int) (steps []string) {
	c.t.Helper()
	var history struct{ History []fleetconfig.HistoryEntry }
	c.get(c.replicas[i], "/v1/history", &history)
	for _, entry := range history.History {
		steps = append(steps, fmt.Sprint(entry.Number, " ", entry.Step))
	}
	return steps
}

func TestAnyReplicaGrantsLeasesAndNodesBlockVersions(t *testing.T) {
	cluster := newCluster(t, 3)
	leader := cluster.leader()
	cluster.propose(cluster.replicas[leader], newProposal("a", "one"), "?wait=active")
	renewal := fleetconfig.Renewal{Node: "n", Incarnation: 1, Seq: 1}
	for i, replica := range cluster.replicas {
		renewal.Seq++
		var lease fleetconfig.Lease
		code, response := cluster.postUntilAvailable(replica, "/v1/renew", renewal, &lease)
		if code != 200 || lease.Seq != renewal.Seq || lease.ActiveVersion != 1 || lease.Terms.AgreementTimeout != 2*time.Second {
			t.Fatalf("replica %d grants %+v: %+v", i+1, lease, response)
		}
	}
	code, response := cluster.postUntilAvailable(cluster.replicas[(leader+1)%3], "/v1/propose?wait=active&timeout=50ms",
		newProposal("b", "two"), nil)
	if code != 504 || response.Kind != "keeper/timed-out" || !strings.Contains(response.Cause, `"n"`) {
		t.Fatalf("a version that n blocks: %d %+v", code, response)
	}
	var status Status
	cluster.get(cluster.replicas[(leader+2)%3], "/v1/status", &status)
	if fmt.Sprint(status.BlockedBy) != "[n]" || status.Proposed == nil || status.Proposed.Number != 2 || len(status.Nodes) != 1 {
		t.Fatalf("status %+v", status)
	}
	if code, response := cluster.postUntilAvailable(cluster.replicas[leader], "/v1/propose", newProposal("c", "three"),
		nil); code != 409 || response.Kind != "agreement/already-proposed" {
		t.Fatalf("a second proposal: %d %+v", code, response)
	}
	renewal.PreparedVersion, renewal.ActiveVersion = 2, 1
	renewal.Seq++
	cluster.postUntilAvailable(cluster.replicas[leader], "/v1/renew", renewal, nil)
	cluster.until("version 2 to be active", func() bool {
		var lease fleetconfig.Lease
		renewal.Seq++
		cluster.postUntilAvailable(cluster.replicas[(leader+1)%3], "/v1/renew", renewal, &lease)
		return lease.ActiveVersion == 2
	})
	// A node's rejection withdraws the next version, and the caller that waits for it gets the reason.
	proposeResult := make(chan string, 1)
	go func() {
		code, response := cluster.postUntilAvailable(cluster.replicas[(leader+1)%3], "/v1/propose?wait=active",
			newProposal("d", "four"), nil)
		proposeResult <- fmt.Sprint(code, " ", response.Kind, " ", response.Cause)
	}()
	renewal.RejectedVersion, renewal.Rejection = 3, &fleetconfig.Rejection{Kind: "memory", Cause: "too large by far"}
	cluster.until("version 3 to be withdrawn", func() bool {
		renewal.Seq++
		cluster.postUntilAvailable(cluster.replicas[leader], "/v1/renew", renewal, nil)
		select {
		case got := <-proposeResult:
			if !strings.HasPrefix(got, "409 keeper/withdrawn ") || !strings.Contains(got, "too large by far") {
				t.Fatalf("the proposal of version 3: %s", got)
			}
			return true
		default:
			return false
		}
	})
	cluster.propose(cluster.replicas[leader], newProposal("e", "five"), "")
	if code, response := cluster.postUntilAvailable(cluster.replicas[(leader+1)%3], "/v1/withdraw",
		fleetconfig.Withdraw{Number: 4, Reason: "a mistake"}, nil); code != 200 {
		t.Fatalf("the withdrawal of version 4: %d %+v", code, response)
	}
	if code, response := cluster.postUntilAvailable(cluster.replicas[leader], "/v1/withdraw", fleetconfig.Withdraw{Number: 4},
		nil); code != 409 || response.Kind != "agreement/not-proposed" {
		t.Fatalf("a second withdrawal: %d %+v", code, response)
	}
}

func TestMinorityFailsRequestsWithinTimeout(t *testing.T) {
	cluster := newCluster(t, 3, func(cluster *cluster) { cluster.commitTimeout = time.Second })
	leader := cluster.leader()
	cluster.propose(cluster.replicas[leader], newProposal("a", "one"), "?wait=active")
	cluster.awaitVersion(leader, 1) // another replica may lead by now, and may have sent the response
	cluster.kill((leader + 1) % 3)
	cluster.kill((leader + 2) % 3)
	for _, test := range []struct {
		path    string
		body    any
		timeout time.Duration
		kinds   string
	}{
		{"/v1/renew", fleetconfig.Renewal{Node: "n", Incarnation: 1, Seq: 1}, renewTimeout, "quorum/not-leading keeper/timed-out"},
		{"/v1/propose", newProposal("b", "two"), 2 * time.Second, "quorum/not-leading quorum/uncertain keeper/timed-out"},
		{"/v1/withdraw", fleetconfig.Withdraw{Number: 1}, 2 * time.Second, "quorum/not-leading quorum/uncertain keeper/timed-out"},
	} { // keeper/timed-out: on a slow machine the event loop may have no turn within the timeout
		start := time.Now()
		code, response := cluster.post(cluster.replicas[leader], test.path, test.body, nil)
		if code != 503 && code != 504 || !strings.Contains(test.kinds, response.Kind) {
			t.Errorf("%s: %d %+v", test.path, code, response)
		}
		if elapsed := time.Since(start); elapsed > test.timeout+10*time.Second { // an allowance for slow machines
			t.Errorf("%s took %v", test.path, elapsed)
		}
	}
	var version fleetconfig.Version
	if code, _ := cluster.get(cluster.replicas[leader], "/v1/version/1", &version); code != 200 || version.Number != 1 {
		t.Errorf("the version that the replica has applied: %d", code)
	}
	var status Status
	if code, _ := cluster.get(cluster.replicas[leader], "/v1/status", &status); code != 200 || status.Active.Number != 1 {
		t.Errorf("the status of the replica: %d %+v", code, status)
	}
}

// blockEventLoop blocks a replica's event loop until the end of the test.
func blockEventLoop(t *testing.T, replica *Replica) {
	t.Helper()
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	blocked := make(chan struct{})
	replica.events <- func(*eventLoop) { close(blocked); <-release }
	<-blocked
}

// TestTimeoutReportsPreviousError cancels calls while the event loop is blocked. A command fails with Uncertain. An attempt to
// call the leader fails with the error of the previous attempt, or with TimedOut if it is the first.
func TestTimeoutReportsPreviousError(t *testing.T) {
	cluster := newCluster(t, 1)
	replica := cluster.replicas[cluster.leader()]
	blockEventLoop(t, replica)
	errorAfterCancel := func(f func(ctx context.Context) error) error {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		before := len(replica.events)
		got := make(chan error, 1)
		go func() { got <- f(ctx) }()
		cluster.until("the query to be queued", func() bool { return len(replica.events) > before })
		cancel()
		return <-got
	}
	if err := errorAfterCancel(func(ctx context.Context) error {
		_, err := replica.commit(ctx, fleetconfig.Command{Withdraw: &fleetconfig.Withdraw{Number: 1}})
		return err
	}); !consensus.Uncertain.Matches(err) {
		t.Errorf("a command that the event loop may still propose: %v", err)
	}
	for _, test := range []struct {
		before error
		want   *apperror.Kind
	}{{consensus.NotLeading.New("keeper 1", "no leader is known"), consensus.NotLeading}, {nil, TimedOut}} {
		if err := errorAfterCancel(func(ctx context.Context) error {
			_, err := replica.callLeaderOnce(ctx, false, leaderCall{}, test.before)
			return err
		}); !test.want.Matches(err) {
			t.Errorf("after %v: %v", test.before, err)
		}
	}
}

// TestQueryIsOverloadedOnlyOnFullQueue queries a blocked event loop with a context that has ended. The error must be Overloaded
// if the event queue is full, and TimedOut if it has room.
func TestQueryIsOverloadedOnlyOnFullQueue(t *testing.T) {
	cluster := newCluster(t, 1)
	replica := cluster.replicas[cluster.leader()]
	blockEventLoop(t, replica)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for i := range 1000 {
		if _, err := query(ended, replica, func(*eventLoop) bool { return true }); !TimedOut.Matches(err) {
			t.Fatalf("query %d with %d of %d events queued: %v", i, len(replica.events), cap(replica.events), err)
		}
	}
	for full := false; !full; {
		select {
		case replica.events <- func(*eventLoop) {}:
		default:
			full = true
		}
	}
	if _, err := query(ended, replica, func(*eventLoop) bool { return true }); !Overloaded.Matches(err) {
		t.Errorf("a full event queue: %v", err)
	}
}

func TestInvalidRequests(t *testing.T) {
	cluster := newCluster(t, 1)
	replica := cluster.replicas[cluster.leader()]
	cluster.propose(replica, newProposal("a", "one"), "?wait=active")
	proposals := 0
	proposalWith := func(change func(*fleetconfig.Propose)) fleetconfig.Propose {
		proposals++ // a repeated id would get the response to the first proposal
		p := newProposal(fmt.Sprint("x", proposals), "x")
		change(&p)
		return p
	}
	proposalForService := func(service, state string) fleetconfig.Propose {
		return proposalWith(func(p *fleetconfig.Propose) {
			p.Body.Routing = json.RawMessage(`{"pools":[{"name":"a"}],"routes":[{"name":"r","to":[{"pool":"service:` + service + `","ppm":1000000}]}],"default":"r"}`)
			p.Body.Catalog = json.RawMessage(state)
		})
	}
	const catalogText = `{"number":1,"at":1,"entries":[{"name":"album","owner":"o","contract":"c","since":1,"standing":"held","cause":"sole",
		"homes":[{"mesh":"thies","zones":["a"],"pool":{"name":"album.thies","select":{}}}]}],
		"meshes":[{"mesh":"lagos","import":[{"from":"dakar"}]},{"mesh":"thies"}]}`
	frameOfUnknownReplica, err := cbor.Marshal(frame{From: 7, To: 1})
	cluster.must(err)
	for _, test := range []struct {
		call       string
		body       any
		code       int
		kind, text string
	}{
		{"POST /v1/propose", proposalWith(func(p *fleetconfig.Propose) { p.Body.Settings = json.RawMessage(`{"Balancers":1}`) }),
			422, "keeper/broken-rules", "settings"},
		{"POST /v1/propose", proposalWith(func(p *fleetconfig.Propose) {
			p.Body.Settings = json.RawMessage(strings.Replace(validSettings, `"GiveUp":60,`, "", 1))
		}), 422, "keeper/broken-rules", "GiveUp"},
		{"POST /v1/propose", proposalWith(func(p *fleetconfig.Propose) { p.Body.Settings = nil }),
			422, "agreement/bad-body", "settings"},
		{"POST /v1/propose", proposalWith(func(p *fleetconfig.Propose) {
			p.Body.Routing = json.RawMessage(`{"pools":[{"name":"a"}],"routes":[{"name":"r","to":[{"pool":"b"}]}],"default":"r"}`)
		}), 422, "keeper/broken-rules", "b"},
		{"POST /v1/propose", proposalForService("notes", ""), 422, "keeper/broken-rules", `the version has none, and its routes name service "notes"`},
		{"POST /v1/propose", proposalForService("notes", catalogText), 422, "keeper/broken-rules", `route r: service "notes"`},
		{"POST /v1/propose", proposalWith(func(p *fleetconfig.Propose) { p.Body.Routing = json.RawMessage(`{"pool":1}`) }),
			422, "keeper/broken-rules", "pool"},
		{"POST /v1/propose", proposalWith(func(p *fleetconfig.Propose) { p.Body.Fleet.AgreementTimeout = 5 * time.Microsecond }),
			422, "agreement/bad-terms", "within"},
		{"POST /v1/propose", proposalWith(func(p *fleetconfig.Propose) { p.Base = 9 }), 409, "agreement/stale-base", "9"},
		{"POST /v1/propose", proposalWith(func(p *fleetconfig.Propose) { p.Body, p.RollbackOf = nil, 9 }),
			404, "agreement/unknown-version", "9"},
		{"POST /v1/propose", proposalWith(func(p *fleetconfig.Propose) { p.Body = nil }), 422, "agreement/bad-body", "body"},
		{"POST /v1/propose?wait=peace", newProposal("y", "y"), 400, "keeper/bad-request", "peace"},
		{"POST /v1/propose?wait=active&timeout=1", newProposal("y", "y"), 400, "keeper/bad-request", "timeout"},
		{"POST /v1/propose", []byte(`{"id":"a"} {}`), 400, "keeper/bad-request", "proposal"},
		{"POST /v1/renew", []byte(`{"node":`), 400, "keeper/bad-request", "renewal"},
		{"POST /v1/renew", fleetconfig.Renewal{}, 400, "keeper/bad-request", "node"},
		{"POST /v1/renew", fleetconfig.Renewal{Node: strings.Repeat("n", fleetconfig.MaxNodeNameBytes+1)}, 400, "keeper/bad-request",
			"256 bytes, not 1 to 255"},
		{"POST /v1/renew", bytes.Repeat([]byte(" "), maxRenewalBytes+1), 400, "keeper/bad-request", "Content-Length"},
		{"GET /v1/version/1?digest=0", nil, 409, "keeper/other-digest", "digest"},
		{"GET /v1/version/9", nil, 404, "agreement/unknown-version", "9"},
		{"GET /v1/version/one", nil, 400, "keeper/bad-request", "one"},
		{"GET /v1/renew", nil, 400, "keeper/bad-request", "no such call"},
		{"POST " + peerPath, []byte("noise"), 422, "quorum/bad-message", "peer"},
		{"POST " + peerPath, frameOfUnknownReplica, 422, "quorum/bad-message", "replica 7"},
	} {
		method, path, _ := strings.Cut(test.call, " ")
		body, raw := test.body.([]byte)
		if !raw && test.body != nil {
			body, err = json.Marshal(test.body)
			cluster.must(err)
		}
		code, response := cluster.call(replica, method, path, body, nil)
		if code != test.code || response.Kind != test.kind || !strings.Contains(response.Place+" "+response.Cause, test.text) {
			t.Errorf("%s: %d %+v, want %d %s %q", test.call, code, response, test.code, test.kind, test.text)
		}
	}
	if n := cluster.propose(replica, newProposal("", "two"), ""); n != 2 {
		t.Errorf("a proposal without an id became version %d, want 2: an invalid proposal was committed", n)
	}
}

func TestRequestLimit(t *testing.T) {
	cluster := newCluster(t, 1)
	replica := cluster.replicas[cluster.leader()]
	for range cap(replica.limits.renewals) {
		replica.limits.renewals <- struct{}{}
	}
	if code, response := cluster.post(replica, "/v1/renew", fleetconfig.Renewal{Node: "n"}, nil); code != 503 ||
		response.Kind != "keeper/overloaded" {
		t.Fatalf("a renewal beyond the limit: %d %+v", code, response)
	}
	if n := cluster.propose(replica, newProposal("a", "one"), ""); n != 1 {
		t.Fatal("renewals count toward the limit of proposals")
	}
}

func TestCorruptDataDirectory(t *testing.T) {
	cfg := Config{ID: 1, Listen: "127.0.0.1:0", Peers: map[string]string{"1": "127.0.0.1:1"}}
	editValue := func(bucket, key []byte, change func([]byte) []byte) func(*testing.T, string) {
		return func(t *testing.T, path string) {
			db, err := bbolt.Open(path, 0o600, nil)
			if err == nil {
				err = errors.Join(db.Update(func(tx *bbolt.Tx) error {
					b := tx.Bucket(bucket)
					return b.Put(key, change(bytes.Clone(b.Get(key))))
				}), db.Close())
			}
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	overwrite := func(from, to int64) func(*testing.T, string) {
		return func(t *testing.T, path string) {
			text, err := os.ReadFile(path)
			if err == nil {
				copy(text[from:min(to, int64(len(text)))], bytes.Repeat([]byte{0xa5}, len(text)))
				err = os.WriteFile(path, text, 0o600)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	flipBit := func(v []byte) []byte { v[len(v)-1] ^= 1; return v }
	for what, test := range map[string]struct {
		corrupt func(*testing.T, string)
		kind    *apperror.Kind
	}{
		"nothing":                          {func(*testing.T, string) {}, nil},
		"a bit of the state":               {editValue(metaBucket, stateKey, flipBit), DataCorrupted},
		"a bit of an entry":                {editValue(logBucket, indexKey(2), flipBit), DataCorrupted},
		"another format":                   {editValue(metaBucket, formatKey, func([]byte) []byte { return []byte("\xf2\x1a\x66\x65" + "99") }), DataCorrupted},
		"a short incarnation":              {editValue(metaBucket, incarnationKey, func(v []byte) []byte { return v[:1] }), DataCorrupted},
		"the first pages":                  {overwrite(0, 8192), DataCorrupted},
		"the other pages":                  {overwrite(8192, 1<<40), DataCorrupted},
		"the end":                          {func(_ *testing.T, path string) { _ = os.Truncate(path, 9000) }, DataCorrupted},
		"the whole file":                   {func(_ *testing.T, path string) { _ = os.WriteFile(path, []byte("not a database"), 0o600) }, DataCorrupted},
		"a directory in place of the file": {func(_ *testing.T, path string) { _ = os.Remove(path); _ = os.Mkdir(path, 0o700) }, DataFailed},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			cluster := &cluster{t: t, configs: []Config{cfg}, replicas: make([]*Replica, 1), ended: make([]chan error, 1),
				commitTimeout: time.Minute}
			cluster.configs[0].Data = t.TempDir()
			cluster.start(0, nil)
			cluster.leader()
			cluster.propose(cluster.replicas[0], newProposal("a", "one"), "?wait=active")
			if test.kind == nil {
				if _, err := New(cluster.configs[0], logging.New(io.Discard, logging.Plain, 0), nil); !DataLocked.Matches(err) {
					t.Errorf("a second replica on one data directory: %v", err)
				}
			}
			cluster.kill(0)
			test.corrupt(t, filepath.Join(cluster.configs[0].Data, storeFile))
			replica, err := New(cluster.configs[0], logging.New(io.Discard, logging.Plain, 0), nil)
			if err == nil {
				replica.Kill()
				err = replica.Run()
			}
			if test.kind == nil && err != nil || test.kind != nil && !test.kind.Matches(err) {
				t.Errorf("a start on the data directory: %v", err)
			}
		})
	}
}

func TestReplicaStopsWhenSaveFails(t *testing.T) {
	cluster := newCluster(t, 1)
	replica := cluster.replicas[cluster.leader()]
	cluster.propose(replica, newProposal("a", "one"), "?wait=active")
	cluster.must(replica.store.db.Close())
	go func() { // the connection may be closed without a response
		if resp, err := http.Post("http://"+replica.Addr()+"/v1/withdraw", "application/json",
			strings.NewReader(`{"number":1}`)); err == nil {
			resp.Body.Close()
		}
	}()
	if err := <-cluster.ended[0]; !DataFailed.Matches(err) {
		t.Fatalf("the replica ended with %v", err)
	}
	cluster.replicas[0] = nil
}

// TestReplicaRetriesSaveOnFullDisk limits the size of files for a while, so that writes fail as on a full disk. The replica must
// keep the version that it has acknowledged, commit a second proposal when there is space again, and have both after a restart.
// The test is not parallel, because the limit applies to the whole process.
func TestReplicaRetriesSaveOnFullDisk(t *testing.T) {
	cluster := &cluster{t: t, replicas: make([]*Replica, 1), ended: make([]chan error, 1), commitTimeout: time.Minute}
	cluster.configs = []Config{{ID: 1, Listen: "127.0.0.1:0", Data: t.TempDir(), Peers: map[string]string{"1": "127.0.0.1:1"}, TickMS: 20}}
	listener := cluster.listenAtNewAddress()
	cluster.configs[0].Peers["1"] = listener.Addr().String()
	cluster.start(0, listener)
	defer func() { cluster.kill(0) }()
	replica := cluster.replicas[cluster.leader()]
	cluster.propose(replica, newProposal("a", "one"), "?wait=active")

	signal.Ignore(unix.SIGXFSZ) // so that writes fail instead of ending this process
	var limit unix.Rlimit
	cluster.must(unix.Getrlimit(unix.RLIMIT_FSIZE, &limit))
	full := unix.Rlimit{Cur: 1, Max: limit.Max}
	cluster.must(unix.Setrlimit(unix.RLIMIT_FSIZE, &full))
	proposed := make(chan struct{})
	go func() {
		cluster.propose(replica, newProposal("b", "two"), "?wait=active")
		close(proposed)
	}()
	select {
	case <-proposed:
		t.Error("a proposal was acknowledged that could not be stored")
	case err := <-cluster.ended[0]:
		t.Fatalf("the replica ended: %v", err)
	case <-time.After(4 * saveRetryInterval):
	}
	cluster.must(unix.Setrlimit(unix.RLIMIT_FSIZE, &limit))
	<-proposed
	cluster.kill(0)
	cluster.restart(0)
	cluster.leader()
	var status Status
	cluster.get(cluster.replicas[0], "/v1/status", &status)
	if status.Active == nil || status.Active.Number != 2 {
		t.Errorf("after a restart the active version is %+v", status.Active)
	}
}

func TestConfigCheck(t *testing.T) {
	good := `{"id":1,"listen":"127.0.0.1:0","data":"d","peers":{"1":"127.0.0.1:7001","2":"[::1]:7002"}}`
	for _, test := range []struct{ from, to, text string }{
		{"", "", ""},
		{`"id":1`, `"id":3`, "replica 3 itself"},
		{`"id":1,`, ``, "id: it is 0"},
		{`127.0.0.1:0`, `localhost:0`, "listen"},
		{`"data":"d"`, `"data":""`, "data"},
		{`[::1]:7002`, `127.0.0.1:7001`, "address of replica 1"},
		{`[::1]:7002`, `127.0.0.1:0`, "peers[2]"},
		{`"2":`, `"02":`, "peers[02]"},
		{`"peers":{"1":"127.0.0.1:7001","2":"[::1]:7002"}`, `"peers":{}`, "0 replicas"},
		{`"id":1`, `"id":1,"tick_ms":60000`, "tick_ms"},
		{`"id":1`, `"id":1,"discovery":"localhost:7100"`, "discovery"},
		{`"id":1`, `"id":1,"election_ticks":-1`, "election_ticks"},
		{`"id":1`, `"id":1,"heartbeat_ticks":-1`, "heartbeat_ticks"},
		{`"id":1`, `"id":1,"elction_ticks":5`, "elction_ticks"}, //nolint:misspell // the misspelled key is unknown
		{`}}`, `}} 1`, "trailing data"},
		{`{`, `[`, ""},
	} {
		path := filepath.Join(t.TempDir(), "keeper.json")
		file := strings.Replace(good, test.from, test.to, 1)
		if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, err := ReadConfig(path)
		if err == nil {
			err = cfg.Check()
		}
		if file == good && err == nil {
			continue
		} else if file == good || !BadConfig.Matches(firstTypedError(err)) || !strings.Contains(err.Error(), test.text) {
			t.Errorf("%s: %v", file, err)
		}
	}
	cluster := newCluster(t, 1)
	cfg := cluster.configs[0]
	cfg.Peers = map[string]string{"1": "127.0.0.1:7001", "2": "127.0.0.1:7002"}
	if err := cluster.replicas[0].UpdateAddresses(cfg); !BadConfig.Matches(err) {
		t.Errorf("another set of replicas: %v", err)
	}
}

// firstTypedError returns the first apperror.Error of joined errors.
func firstTypedError(err error) error {
	var e *apperror.Error
	errors.As(err, &e)
	return e
}

func TestLaggingReplicaCatchesUpBySnapshot(t *testing.T) {
	cluster := newCluster(t, 3)
	for i := range cluster.configs {
		cluster.kill(i)
		cluster.configs[i].SnapshotEvery = 8
		cluster.restart(i)
	}
	leader := cluster.leader()
	lagging := (leader + 1) % 3
	cluster.propose(cluster.replicas[leader], newProposal("v0", "p0"), "?wait=active")
	cluster.awaitVersion(lagging, 1)
	cluster.kill(lagging)
	for i := range 300 { // more entries than are kept in memory for lagging peers
		p := newProposal(fmt.Sprint("v", i), "p0")
		p.Base = 77 // rejected by the state machine, but still written to the log
		cluster.post(cluster.replicas[leader], "/v1/propose", p, nil)
	}
	cluster.propose(cluster.replicas[leader], newProposal("end", "p1"), "?wait=active")
	cluster.restart(lagging)
	cluster.awaitVersion(lagging, 2)
	var status Status
	// The snapshot may end with the proposal of version 2. The log then contains its activation, which arrives a round trip later.
	cluster.until("version 2 to be active at the lagging replica", func() bool {
		status = Status{}
		code, _ := cluster.get(cluster.replicas[lagging], "/v1/status?local=1", &status)
		return code == http.StatusOK && status.Active != nil && status.Active.Number == 2
	})
	if status.Applied < 300 {
		t.Fatalf("the status of the lagging replica: %+v", status)
	}
}

func TestReplicaRejoinsAfterDataLoss(t *testing.T) {
	cluster := newCluster(t, 3)
	leader := cluster.leader()
	cluster.propose(cluster.replicas[leader], newProposal("a", "one"), "?wait=active")
	lost := (leader + 1) % 3
	cluster.kill(lost)
	cluster.must(os.RemoveAll(cluster.configs[lost].Data))
	cluster.configs[lost].Rejoin = true
	cluster.restart(lost)
	cluster.awaitVersion(lost, 1)
	cluster.until("the replica that lost its data to vote", func() bool {
		var status Status
		cluster.get(cluster.replicas[lost], "/v1/status?local=1", &status)
		return !status.Rejoining
	})
	cluster.kill(lost) // a restart with the same flag is allowed
	cluster.restart(lost)
	cluster.kill((lost + 1) % 3) // the replica that lost its data counts toward the majority
	if n := cluster.propose(cluster.replicas[lost], newProposal("b", "two"), "?wait=active"); n != 2 {
		t.Fatalf("the second version is %d", n)
	}
}

var _ consensus.Storage = (*store)(nil)

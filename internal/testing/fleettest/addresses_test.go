package fleettest

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
)

// TestClientsOfStoppedProxyReachNoOtherProcess guards against a client that reaches a replica on the reused port of a stopped
// proxy: the checker would count three lines of the replica's HTTP response as final answers.
func TestClientsOfStoppedProxyReachNoOtherProcess(t *testing.T) {
	listener, err := net.Listen("tcp", replicaHost+":0")
	if err != nil {
		t.Fatal(err)
	}
	replica := httptest.NewUnstartedServer(http.NotFoundHandler())
	replica.Listener = listener
	replica.Start()
	defer replica.Close()
	_, port, _ := net.SplitHostPort(listener.Addr().String())
	for _, test := range []struct {
		host             string
		refused, answers int
	}{{replicaHost, 0, 3}, {proxyHost(1), 1, 0}, {proxyHost(2), 1, 0}, {adminHost, 1, 0}} {
		clients := &clientPool{checker: fakes.NewProtocolChecker(), interval: time.Second, answersByProxy: map[string]int{}}
		proxy := &Proxy{Process: &Process{Name: "proxy1"}, Index: 1}
		proxy.addr.Store(net.JoinHostPort(test.host, port))
		clients.request(proxy, "feed1", false)
		if clients.connectionsRefused != test.refused || clients.checker.Counts().Answers != test.answers {
			t.Errorf("host %s: %d connections refused, %d answers, violations %q", test.host, clients.connectionsRefused,
				clients.checker.Counts().Answers, clients.checker.Violations())
		}
		if violations := strings.Join(clients.checker.Violations(), "\n"); test.answers > 0 &&
			!strings.Contains(violations, `the latest "Connection:"`) {
			t.Errorf("violations %q do not name the answer \"Connection:\"", violations)
		}
	}
}

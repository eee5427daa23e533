package admin

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/evloop"
)

// goldenProxy is a Proxy with the state that the fixtures contain.
type goldenProxy struct {
	ready bool
	level string
	calls []string
}

func (p *goldenProxy) Ready() bool       { return p.ready }
func (p *goldenProxy) Telemetry() []byte { return []byte("svc.first=1\nsvc.second=2\n") }
func (p *goldenProxy) Evacuate()         { p.calls = append(p.calls, "evacuate") }
func (p *goldenProxy) Rejoin()           { p.calls = append(p.calls, "rejoin") }
func (p *goldenProxy) LogLevel() string  { return p.level }

func (p *goldenProxy) SetLogLevel(name string) error {
	if name == "debug" {
		return errors.New("no such level")
	}
	p.calls = append(p.calls, name)
	return nil
}

// TestGoldenAnswers compares each response, including its header, with a fixture that pins the wire format. The fixtures are
// never rewritten.
func TestGoldenAnswers(t *testing.T) {
	for _, c := range []struct {
		fixture, request string
		ready            bool
		call             string // expected call of the proxy; "": none
	}{
		{"ready_yes.http", "GET /api/ready", true, ""},
		{"ready_no.http", "GET /api/ready", false, ""},
		{"ready_head.http", "HEAD /api/ready", true, ""},
		{"telemetry.http", "GET /api/telemetry", true, ""},
		{"telemetry_query.http", "GET /api/telemetry?a=b", true, ""},
		{"evacuate.http", "PUT /api/evacuate", true, "evacuate"},
		{"rejoin.http", "PUT /api/rejoin", true, "rejoin"},
		{"log.http", "GET /api/log", true, ""},
		{"log_refused.http", "PUT /api/log/debug", true, ""},
		{"log_info.http", "PUT /api/log/info", true, "info"},
		{"log_warn.http", "PUT /api/log/warn", true, "warn"},
		{"log_error.http", "PUT /api/log/error", true, "error"},
		{"log_unknown.http", "PUT /api/log/trace", true, ""},
		{"unknown.http", "GET /api/unknown", true, ""},
		{"get_method.http", "PUT /api/ready", true, ""},
		{"put_method.http", "GET /api/rejoin", true, ""},
		{"malformed.http", "GET", true, ""},
	} {
		proxy := &goldenProxy{ready: c.ready, level: "warn"}
		compareAnswer(t, proxy, c.request+" HTTP/1.1\r\nHost: localhost\r\n\r\n", c.fixture)
		if c.call == "" && len(proxy.calls) > 0 || c.call != "" && (len(proxy.calls) != 1 || proxy.calls[0] != c.call) {
			t.Errorf("%s: got calls %q of the proxy, want %q", c.request, proxy.calls, c.call)
		}
	}
}

// TestGoldenParseErrors compares the responses to requests that the parser rejects with fixtures.
func TestGoldenParseErrors(t *testing.T) {
	for fixture, request := range map[string]string{
		"refused_version.http":  "GET /api/ready HTTP/2\r\n\r\n",
		"refused_head.http":     "GET /api/ready HTTP/1.1\r\nLong: " + strings.Repeat("x", maxHead) + "\r\n\r\n",
		"refused_body.http":     "PUT /api/rejoin HTTP/1.1\r\nContent-Length: 4097\r\n\r\n",
		"refused_encoding.http": "PUT /api/rejoin HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
		"refused_lengths.http":  "PUT /api/rejoin HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
	} {
		compareAnswer(t, &goldenProxy{}, request, fixture)
	}
}

func compareAnswer(t *testing.T, proxy Proxy, request, fixture string) {
	t.Helper()
	got := roundTrip(t, proxy, request)
	want, err := os.ReadFile(filepath.Join("testdata", "golden", fixture))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(want, got) {
		t.Errorf("%.80q:\nwant %q\n got %q", request, want, got)
	}
}

// roundTrip starts a server, sends it a request and returns the whole response.
func roundTrip(t *testing.T, proxy Proxy, request string) []byte {
	t.Helper()
	loop, err := evloop.New()
	if err != nil {
		t.Fatal(err)
	}
	server, err := Listen(loop, "127.0.0.1:0", proxy)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- loop.Run() }()
	defer func() {
		if err := errors.Join(loop.Stop(), <-ended); err != nil {
			t.Error(err)
		}
	}()
	conn, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

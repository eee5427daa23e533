package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
)

// toolsBinary builds micafrontctl once and returns its path.
var toolsBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "micafrontctl")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "micafrontctl")
	out, err := exec.Command("go", "build", "-o", path, "../micafrontctl").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// startFromSite starts the program from a file in the site language; env holds alternating names and values of further
// environment variables.
func startFromSite(t *testing.T, file string, env ...string) (*proxyProcess, map[string]chan *fakes.Peer) {
	t.Helper()
	path, err := toolsBinary()
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	conns := map[string]chan *fakes.Peer{}
	var entries []string
	for _, zone := range []string{"thies", "dakar"} {
		conns[zone] = make(chan *fakes.Peer, 64)
		endpoint := fakes.NewScriptedEndpoint(t, "s-"+zone, conns[zone])
		entries = append(entries, fmt.Sprintf(`{id: %q, address: %q, zone: %q, lifecycle: "in_service"}`, endpoint.ID, endpoint.Addr, zone))
	}
	proxy := startProxy(t, "", func(proxy *proxyProcess) {
		proxy.siteText = strings.NewReplacer("127.0.0.1:8081", "127.0.0.1:0", "127.0.0.1:8500", proxy.discovery.Addr).Replace(string(text)) +
			fmt.Sprintf("\nknown: {generation: 1, reset: true, instances: [%s]}\n", strings.Join(entries, ", "))
		proxy.env = append(proxy.env, "MICAFRONT_TOOLS="+path)
		for i := 0; i < len(env); i += 2 {
			proxy.env = append(proxy.env, env[i]+"="+env[i+1])
		}
	})
	return proxy, conns
}

// TestStartFromSite checks that the program runs from a configuration in the site language, and that a reload applies a
// changed file completely or not at all.
func TestStartFromSite(t *testing.T) {
	t.Parallel()
	proxy, conns := startFromSite(t, "../../internal/sitelang/testdata/base.cue")
	requestLine := func(key string) string { return strings.Replace(openLine(key), "c=feed", "c=album-notes", 1) }
	connectIn := func(key, zone string) {
		t.Helper()
		client := proxy.dial()
		client.Send(requestLine(key))
		upstream := fakes.Await(t, conns[zone])
		upstream.ReadLine()
		upstream.Send("UP r\r\n")
		testkit.Equal(t, "answer", "UP r", client.ReadLine())
	}
	connectIn("k", "thies")
	proxy.reload(`rest: to: thies: "100 %"`, `rest: to: theis: "100 %"`)
	proxy.waitForLog(inJSON(`route.rest.to: there is no pool "theis"; is "thies" meant?`))
	connectIn("k", "thies")
	text, err := os.ReadFile(proxy.configPath)
	if err != nil {
		t.Fatal(err)
	}
	// A truncated file is rejected too.
	if err := os.WriteFile(proxy.configPath, text[:len(text)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	proxy.command.Process.Signal(syscall.SIGHUP)
	proxy.waitForCounter("reload_errors=2")
	if err := os.WriteFile(proxy.configPath, []byte(strings.Replace(string(text), "theis", "dakar", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	proxy.command.Process.Signal(syscall.SIGHUP)
	proxy.waitForCounter("reloads=1")
	connectIn("k", "dakar")
}

// TestStopDuringSiteCompilation checks that a stop does not wait until a slow compilation of the site has finished.
func TestStopDuringSiteCompilation(t *testing.T) {
	t.Parallel()
	compiler, err := toolsBinary()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	slow, started := filepath.Join(dir, "slow"), filepath.Join(dir, "started")
	script := fmt.Sprintf("#!/bin/sh\nif [ -e %q ]; then : > %q; exec sleep 600; fi\nexec %q \"$@\"\n", slow, started, compiler)
	wrapper := filepath.Join(dir, "tools")
	if err := os.WriteFile(wrapper, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	proxy, _ := startFromSite(t, "../../internal/sitelang/testdata/base.cue", "MICAFRONT_TOOLS", wrapper)
	if err := os.WriteFile(slow, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	proxy.command.Process.Signal(syscall.SIGHUP)
	for end := time.Now().Add(fakes.WaitTimeout); ; time.Sleep(5 * time.Millisecond) {
		if _, err := os.Stat(started); err == nil {
			break
		} else if time.Now().After(end) {
			t.Fatal("the compilation of the site never started")
		}
	}
	proxy.command.Process.Signal(syscall.SIGTERM)
	if err := fakes.Await(t, proxy.exited); err != nil {
		t.Fatal(err)
	}
}

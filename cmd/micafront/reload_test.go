package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
)

// TestRemovedClassKeepsItsEffect checks that a class that a reload removed keeps its effect for clients that reconnect under
// it, even in a pool that is created later.
func TestRemovedClassKeepsItsEffect(t *testing.T) {
	t.Parallel()
	proxy, conns := startWithEndpoints(t, 2, withRouting(`{"pools":[{"name":"a"}],"routes":[{"name":"r","to":[{"pool":"a","ppm":1000000}]}]}`),
		withClasses(classJSON("calm", "safe", "all", 0)+","+classJSON("mint", "unsafe", "all", 0)))
	fakes.Await(t, proxy.discovery.Watches)
	proxy.editConfig(","+classJSON("mint", "unsafe", "all", 0), "")
	proxy.editConfig(`[{"name":"a"}]`, `[{"name":"z"}]`)
	proxy.editConfig(`{"pool":"a",`, `{"pool":"z",`)
	proxy.command.Process.Signal(syscall.SIGHUP)
	proxy.waitForLog(logLine("pool created", `"pool": "z"}`))
	for i := 0; ; i++ { // until the new pool's hash table is built
		client := proxy.dial()
		client.Send(openLineOfClass("mint", "key", ",d=20000,again=1"))
		result, upstream, clientAnswer := nextAttemptOrAnswer(t, conns, client)
		if result == "BUSY" {
			client.Close()
			time.Sleep(20 * time.Millisecond)
			continue
		}
		testkit.Equal(t, "first attempt", "again", result)
		upstream.Close()
		testkit.Equal(t, "answer", "ERR", fakes.Await(t, clientAnswer))
		break
	}
	proxy.waitForCounter("outcome_reset=1")
	proxy.waitForCounter("open=0")
	proxy.waitForCounter("attempts=1")
}

// TestReloadRejectsInvalidSettings checks that a reload of invalid settings changes nothing and that the log names the fault
// and the file.
func TestReloadRejectsInvalidSettings(t *testing.T) {
	mint := classJSON("mint", "keyed", "zone", 5)
	proxy, conns := startWithEndpoint(t, withClasses(mint))
	for _, c := range []struct{ name, from, to, want string }{
		{"truncated file", "", "", "not valid JSON"},
		{"string instead of a number", `"GiveUp":30`, `"GiveUp":"30"`, "GiveUp"},
		{"number instead of a string", `"Name":"mint"`, `"Name":7`, "Name"},
		{"array instead of an object", `"Limits":{`, `"Limits":[],"Was":{`, "Limits"},
		{"negative timeout", `"GiveUp":30`, `"GiveUp":-30`, `class "mint": GiveUp must be above 0`},
		{"negative limit", `"MaxRetryAfter":1`, `"MaxRetryAfter":-1`, "Limits.MaxRetryAfter must not be negative"},
		{"empty name", `"Name":"mint"`, `"Name":""`, `class name "" is empty`},
		{"missing name", `"Name":"mint",`, "", "Name is missing"},
		{"duplicate class", mint, mint + "," + mint, `class name "mint" is empty or comes twice`},
		{"number out of range", `"GiveUp":30`, `"GiveUp":1e999`, "not valid"},
	} {
		text, err := os.ReadFile(proxy.configPath)
		if err != nil {
			t.Fatal(err)
		}
		bad := strings.Replace(string(text), c.from, c.to, 1)
		if c.from == "" {
			bad = bad[:len(bad)/2]
		} else if bad == string(text) {
			t.Fatalf("%s: the configuration does not contain %q", c.name, c.from)
		}
		if err := os.WriteFile(proxy.configPath, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		before := strings.Count(proxy.stderr.String(), logConfigRejected)
		proxy.command.Process.Signal(syscall.SIGHUP)
		rejected := func() bool { return strings.Count(proxy.stderr.String(), logConfigRejected) > before }
		for end := time.Now().Add(fakes.WaitTimeout); !rejected(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: the settings were not rejected", c.name)
			}
		}
		all := proxy.stderr.String()
		if last := all[strings.LastIndex(all, logConfigRejected):]; !strings.Contains(last, inJSON(c.want)) || !strings.Contains(last, proxy.configPath) {
			t.Errorf("%s: the log line %q does not contain %q and the file %s", c.name, last, c.want, proxy.configPath)
		}
		if err := os.WriteFile(proxy.configPath, text, 0o600); err != nil {
			t.Fatal(err)
		}
		client := proxy.dial()
		client.Send(openLineOfClass("mint", "key", ",d=20000"))
		upstream := fakes.Await(t, conns)
		upstream.ReadLine()
		sendUp(upstream)
		testkit.Equal(t, c.name+": answer with the previous settings", "UP r", client.ReadLine())
		client.Close()
	}
}

// TestReload checks a reload by SIGHUP: an invalid file changes nothing; a new discovery service is called for its complete
// list, whose generation may be lower, and the end of the watch at the previous service does not count as a failure.
func TestReload(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	client, upstream := proxy.connect(conns, "a")
	fakes.Await(t, proxy.discovery.Watches)
	proxy.discovery.Lists <- fakes.List(2, false)
	proxy.reload(`"known":{`, `"known":[{`)
	proxy.waitForLog(logConfigRejected)
	proxy.reload(`"known":[{`, `"known":{`)
	proxy.waitForCounter("reloads=1")
	next := fakes.NewScriptedDiscovery(t)
	proxy.reload(proxy.discovery.Addr, next.Addr)
	testkit.Equal(t, "call", "watch=1&from=0", fakes.Await(t, next.Watches))
	// The proxy follows the previous service until the new one has sent a list.
	endpoint := fakes.NewScriptedEndpoint(t, "s-2", conns)
	proxy.discovery.Lists <- fakes.List(3, false, listEntry("s-2", endpoint.Addr, "in_service"))
	proxy.waitForCounter("list_changes=2")
	next.Lists <- fakes.List(1, true, listEntry("s-2", endpoint.Addr, "in_service"))
	proxy.waitForCounter("lists=2") // the list in the configuration and this list
	proxy.discovery.Lists <- fakes.List(4, false)
	proxy.discovery.Lists <- ""
	next.Lists <- ""
	testkit.Equal(t, "next call", "watch=1&from=1", fakes.Await(t, next.Watches))
	proxy.waitForCounter("list_changes=2")
	proxy.waitForCounter("list_failures=1")
	proxy.waitForCounter("reload_errors=1")
	// The hash table includes the endpoint from the next epoch; until then requests are rejected.
	for got := ""; got != "UP r"; got = requestAnswer(proxy.dial(), conns) {
	}
	client.Send("M 1\r\n")
	testkit.Equal(t, "connection established before the reload", "M 1", upstream.ReadLine())
}

// TestReloadSettings checks a reload of settings: an incomplete file is rejected as a whole, a new class and its effect
// apply immediately, and a removed class remains for connections that were established under it.
func TestReloadSettings(t *testing.T) {
	proxy, conns := startWithEndpoints(t, 6, withAdminListener)
	for i, c := range []struct{ from, to string }{
		{`"GiveUp":60,`, ""}, {`"GiveUp":60`, `"GiveUp":0`}, {`"GiveUp":60`, `"GiveUp":"60"`},
		{`"GiveUp":60`, `"GiveUp":null`}, {`"AttemptsCap":6`, `"AttemptsCap":-1`}, {`"AttemptsCap":6`, `"AttemptsCap":2.5`},
		{`"AttemptsCap":6,`, ""}, {`"memory_mb":192,`, ""}, {`"seed":"5be964",`, ""}, {`"DedupScope"`, `"Dedup"`},
		{`"OverloadFactor":3}}}`, `"OverloadFactor":3}}`}, {`"Name":"feed"`, `"Name":""`},
		{`"Categories":[`, `"Categories":[{"Name":"other"},`},
	} {
		text, err := os.ReadFile(proxy.configPath)
		if err != nil || !strings.Contains(string(text), c.from) {
			t.Fatalf("%v, or no %q in %s", err, c.from, text)
		}
		proxy.reload(c.from, c.to)
		proxy.waitForMetrics(map[string]string{"svc.config_reload_errors": fmt.Sprint(i + 1), "svc.config_reloads": "0"})
		if err := os.WriteFile(proxy.configPath, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	first, firstUpstream := proxy.connect(conns, "a")
	const feed = `{"Name":"feed","Aim":30`
	proxy.reload(feed, `{"Name":"notes","Aim":30,"GiveUp":60,"Credit":5,"Effect":"unsafe","DedupScope":"all"},`+feed)
	proxy.waitForMetrics(map[string]string{"svc.config_reloads": "1", "svc.downstream_requests.notes.completed": "0"})
	openRequest := func(class, attributes string) (client, upstream *fakes.Peer) {
		client = proxy.dial()
		client.Send(strings.Replace(openLine("b"), "c=feed", "c="+class+attributes, 1))
		upstream = fakes.Await(t, conns)
		upstream.ReadLine()
		return client, upstream
	}
	// A request of an unsafe class that may have run is neither retried nor rejected.
	client, upstream := openRequest("notes", "")
	upstream.Close()
	testkit.Equal(t, "unsafe request that may have run", "ERR", client.ReadLine())
	proxy.editConfig(`{"Name":"feed"`, `{"Name":"later"`)
	proxy.reload(`"AttemptsCap":6`, `"AttemptsCap":1`)
	proxy.waitForMetrics(map[string]string{"svc.config_reloads": "2", "svc.downstream_requests.feed.completed": "1"})
	rejected := proxy.dial()
	rejected.Send(openLine("c"))
	testkit.Equal(t, "new request of a removed class", "ERR SYNTAX", rejected.ReadLine())
	client, upstream = openRequest("feed", ",again=1") // for example after a move by another proxy
	upstream.Send("UP r\r\n")
	testkit.Equal(t, "repeated request of a removed class", "UP r", client.ReadLine())
	first.Send("M 1\r\n")
	testkit.Equal(t, "still relayed", "M 1", firstUpstream.ReadLine())
	// The only attempt allowed ends without having run, so the request is rejected.
	client, upstream = openRequest("later", "")
	upstream.Send("BUSY\r\n")
	if l := client.ReadLine(); !strings.HasPrefix(l, "BUSY ") {
		t.Errorf("answer %q", l)
	}
	proxy.waitForMetrics(map[string]string{"svc.downstream_requests.feed.completed": "2",
		"svc.downstream_requests.notes.failed": "1", "svc.downstream_requests.later.rejected": "1"})
}

package main

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"example.org/micafront/internal/controlplane"
	"example.org/micafront/internal/testing/testkit"
	"github.com/alecthomas/kong"
)

// parse parses a command line as main does.
func parse(t *testing.T, args ...string) (c commandLine) {
	t.Helper()
	parser, err := kong.New(&c, kong.Name("micafront-controlplane"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parser.Parse(args); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestGoldenFlags pins the name, the letter and the environment variable of every flag, and the field that it sets.
func TestGoldenFlags(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keeper.json")
	if err := os.WriteFile(path, []byte(`{"id":9}`), 0o600); err != nil {
		t.Fatal(err)
	}
	want := commandLine{Config: path, ID: 1, Listen: "127.0.0.1:7001", Data: "/data",
		Peer: map[string]string{"1": "127.0.0.1:7001", "2": "127.0.0.1:7002"}, TickMS: 20, ElectionTicks: 12, HeartbeatTicks: 2,
		Rejoin: true, Log: "json,debug"}
	for i, v := 0, reflect.ValueOf(want); i < v.NumField(); i++ {
		if v.Field(i).IsZero() {
			t.Errorf("the expected command line does not set %s", v.Type().Field(i).Name)
		}
	}
	rest := []string{"--id=1", "--listen=127.0.0.1:7001", "--data=/data", "--peer=1=127.0.0.1:7001",
		"--peer=2=127.0.0.1:7002", "--tick-ms=20", "--election-ticks=12", "--heartbeat-ticks=2", "--rejoin"}
	testkit.Equal(t, "command line", want, parse(t, append(rest, "--config="+path, "--log=json,debug")...))
	testkit.Equal(t, "file of the flag -c", path, parse(t, "-c", path).Config)
	t.Setenv("MICAFRONT_LOG", "json,debug")
	testkit.Equal(t, "command line with MICAFRONT_LOG", want, parse(t, append(rest, "--config="+path)...))

	var c commandLine
	parser, err := kong.New(&c, kong.Name("micafront-controlplane"))
	if err != nil {
		t.Fatal(err)
	}
	type flag struct {
		Name  string
		Short rune
		Envs  []string
	}
	var got []flag
	for _, f := range parser.Model.Flags {
		got = append(got, flag{f.Name, f.Short, f.Envs})
	}
	testkit.Equal(t, "all flags", []flag{{"help", 'h', nil}, {"config", 'c', nil}, {"id", 0, nil}, {"listen", 0, nil},
		{"data", 0, nil}, {"peer", 0, nil}, {"tick-ms", 0, nil}, {"election-ticks", 0, nil}, {"heartbeat-ticks", 0, nil},
		{"rejoin", 0, nil}, {"log", 0, []string{"MICAFRONT_LOG"}}}, got)
}

// TestGoldenFlagsOverrideFile checks that a flag overrides the member of the configuration file, and that other members are kept.
func TestGoldenFlagsOverrideFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keeper.json")
	text := `{"id":9,"listen":"127.0.0.1:9","data":"/file","peers":{"1":"127.0.0.1:9"},"tick_ms":9,"election_ticks":9,` +
		`"heartbeat_ticks":9,"snapshot_every":9,"discovery":"127.0.0.1:7100","mesh_silence_ms":9}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c := parse(t, "--config="+path, "--id=1", "--listen=127.0.0.1:7001", "--data=/data", "--peer=1=127.0.0.1:7001",
		"--peer=2=127.0.0.1:7002", "--tick-ms=20", "--election-ticks=12", "--heartbeat-ticks=2", "--rejoin")
	got, err := c.config()
	if err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "configuration", controlplane.Config{ID: 1, Listen: "127.0.0.1:7001", Data: "/data",
		Peers: map[string]string{"1": "127.0.0.1:7001", "2": "127.0.0.1:7002"}, TickMS: 20, ElectionTicks: 12, HeartbeatTicks: 2,
		SnapshotEvery: 9, Discovery: "127.0.0.1:7100", MeshTimeoutMS: 9, Rejoin: true}, got)
}

// TestGoldenListenerVariable pins the environment variable that passes a listener to the program.
func TestGoldenListenerVariable(t *testing.T) {
	t.Setenv("MICAFRONT_KEEPER_FD", "two")
	p := start(t, nil, "--id=1", "--listen=127.0.0.1:0", "--data=x", "--peer=1=127.0.0.1:7001")
	testkit.Equal(t, "exit code", 1, p.awaitExit())
	testkit.Equal(t, "variable", "MICAFRONT_KEEPER_FD", controlplane.ListenerFDEnv)
}

package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
)

func configureEvent(t *testing.T, node int) string {
	t.Helper()
	text, err := os.ReadFile("../../internal/simwire/testdata/configure.json")
	if err != nil {
		t.Fatal(err)
	}
	line := strings.ReplaceAll(string(text), "\n", "")
	return strings.Replace(line, `"Node":3`, fmt.Sprintf(`"Node":%d`, node), 1)
}

const cachedListEvent = `{"Endpoints":{"Node":%d,"How":"SAVED","SeqNo":1,"Items":[{"StageState":"healthy","Host":"h:1","Size":1,"Campus":"z"},` +
	`{"StageState":"healthy","Host":"h:2","Size":1,"Campus":"z"}]}}`

func callEvent(node int, id string) string {
	return fmt.Sprintf(`{"Call":{"Node":%d,"Rid":"%s","Grade":"quick","ValidUntil":12,"PartitionKey":"k%s"}}`, node, id, id)
}

func batch(frame int, events ...string) string {
	return fmt.Sprintf(`{"AtTime":%d,"frame":%d,"news":[%s]}`+"\n", 10, frame, strings.Join(events, ","))
}

func TestRunAnswersEachBatch(t *testing.T) {
	input := batch(1) + batch(2, configureEvent(t, 3), fmt.Sprintf(cachedListEvent, 3), callEvent(3, "a"))
	var out bytes.Buffer
	if err := run(strings.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || lines[0] != `{"frame":1,"output":[]}` {
		t.Fatalf("got %q", lines)
	}
	if !strings.Contains(lines[1], `"HandOff":{"Node":3,"Rid":"a","Host":"h:`) || !strings.Contains(lines[1], `"Arm"`) {
		t.Errorf("got %s", lines[1])
	}
}

// TestRunFlushesEachReply checks that each reply is written before the next batch is read.
func TestRunFlushesEachReply(t *testing.T) {
	inR, inW := io.Pipe()
	outR, outW := io.Pipe()
	go func() { outW.CloseWithError(run(inR, outW)) }()
	for frame := 1; frame <= 3; frame++ {
		if _, err := io.WriteString(inW, batch(frame)); err != nil {
			t.Fatal(err)
		}
		want := fmt.Sprintf(`{"frame":%d,"output":[]}`+"\n", frame)
		got := make([]byte, len(want))
		if _, err := io.ReadFull(outR, got); err != nil || string(got) != want {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	inW.Close()
	if rest, err := io.ReadAll(outR); err != nil || len(rest) != 0 {
		t.Errorf("at the end of input: %q, %v", rest, err)
	}
}

func TestRunReportsMalformedInput(t *testing.T) {
	for input, want := range map[string]string{
		"nonsense\n":                "not valid JSON",
		batch(4, callEvent(9, "a")): "frame 4, event 0: unknown instance 9",
		batch(4, `{"Odd":{}}`):      "frame 4, event 0",
		batch(4, strings.Replace(configureEvent(t, 1), `"AttemptsCap":3`, `"AttemptsCap":0`, 1)): "Limits.Attempts",
	} {
		var out bytes.Buffer
		err := run(strings.NewReader(input), &out)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got error %v, want a single line that contains %q", input, err, want)
		}
	}
}

// TestKillAndRestartInOneBatch checks that an instance that is killed and restarted in one batch starts without its earlier state.
func TestKillAndRestartInOneBatch(t *testing.T) {
	input := batch(1, configureEvent(t, 3), fmt.Sprintf(cachedListEvent, 3), callEvent(3, "a")) +
		batch(2, `{"CrashNow":{"Node":3}}`, configureEvent(t, 3), fmt.Sprintf(cachedListEvent, 3), callEvent(3, "a"))
	var out bytes.Buffer
	if err := run(strings.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[1], `"HandOff"`) {
		t.Errorf("got %q", lines)
	}
}

// TestInstancesAreIndependent checks that the actions of an instance do not depend on the other instances in the process.
func TestInstancesAreIndependent(t *testing.T) {
	replies := func(nodes ...int) string {
		var input strings.Builder
		for frame := 1; frame < 40; frame++ {
			var events []string
			for _, node := range nodes {
				if frame == 1 {
					events = append(events, configureEvent(t, node), fmt.Sprintf(cachedListEvent, node))
				}
				events = append(events, callEvent(node, fmt.Sprintf("%d-%d", node, frame)))
			}
			input.WriteString(batch(frame, events...))
		}
		var out bytes.Buffer
		if err := run(strings.NewReader(input.String()), &out); err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	actionsOfNode := func(text string, node int) (found []string) {
		for _, part := range strings.Split(text, `{"`) {
			if strings.HasPrefix(part, `Node":`+fmt.Sprint(node)+`,`) {
				found = append(found, strings.TrimRight(part, ",]}\n"))
			}
		}
		return found
	}
	together, alone := actionsOfNode(replies(1, 2, 3), 2), actionsOfNode(replies(2), 2)
	if len(together) == 0 || fmt.Sprint(together) != fmt.Sprint(alone) {
		t.Errorf("actions beside other instances: %v\nactions alone: %v", together, alone)
	}
}

// TestMegabyteBatch checks that a line that does not fit into the read buffer is handled completely.
func TestMegabyteBatch(t *testing.T) {
	events := []string{configureEvent(t, 3), fmt.Sprintf(cachedListEvent, 3)}
	for i := range 20000 {
		events = append(events, callEvent(3, fmt.Sprint("q", i)))
	}
	input := batch(1, events...)
	if len(input) < 1<<20 {
		t.Fatal("the batch is smaller than 1 MiB")
	}
	var out bytes.Buffer
	if err := run(strings.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), `"Arm"`); n < 20000 {
		t.Errorf("%d timers for 20000 requests", n)
	}
}

func TestPanicIsReportedAsFailure(t *testing.T) {
	reply, err := instances{}.handleBatch([]byte(batch(7)))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(reply), `"frame":7`) {
		t.Errorf("got %s", reply)
	}
	if _, failure := handleSafely(nil, 0, nil); failure == "" { // a nil instance panics
		t.Error("handleSafely did not return the panic of an instance as its failure")
	}
}

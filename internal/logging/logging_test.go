package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/micafront/internal/testing/testkit"
	"go.uber.org/zap"
)

// blockedWriter blocks its writes until it is opened.
type blockedWriter struct {
	started chan struct{} // gets one for each write, before it blocks
	opened  chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	select {
	case w.started <- struct{}{}:
	default:
	}
	<-w.opened
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func TestForms(t *testing.T) {
	for form, want := range map[Format]string{Plain: "it happened\t{\"n\": 3, \"in\": \"2s\"}\n", Console: "\tinfo\tit happened\t{\"n\": 3, \"in\": \"2s\"}\n"} {
		var b bytes.Buffer
		l := New(&b, form, zap.InfoLevel)
		l.Debug("not this")
		l.Info("it happened", zap.Int("n", 3), zap.Duration("in", 2*time.Second))
		testkit.Equal(t, "close", nil, l.Close())
		if !strings.HasSuffix(b.String(), want) {
			t.Errorf("form %d: %q", form, b.String())
		}
	}
	var b bytes.Buffer
	l := New(&b, JSON, zap.InfoLevel)
	l.Warn("it happened", zap.String("endpoint", "s-1"))
	testkit.Equal(t, "close", nil, l.Close())
	var line map[string]string
	if err := json.Unmarshal(b.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	delete(line, "time")
	testkit.Equal(t, "line", map[string]string{"level": "warn", "msg": "it happened", "endpoint": "s-1"}, line)
}

func TestLevelChangesWhileRunning(t *testing.T) {
	var b bytes.Buffer
	l := New(&b, Plain, zap.InfoLevel)
	l.Debug("one")
	testkit.Equal(t, "set", nil, l.SetLevel("debug"))
	l.Debug("two")
	testkit.Equal(t, "set", nil, l.SetLevel("error"))
	l.Warn("three")
	if err := l.SetLevel("loud"); err == nil {
		t.Error("an unknown level was accepted")
	}
	testkit.Equal(t, "close", nil, l.Close())
	testkit.Equal(t, "lines", "two\n", b.String())
}

// TestNeverBlocks: a reader that reads nothing blocks nobody; dropped lines are counted, and reported once it reads again. Lines
// are written only once the first one blocks the writer: until then the number of dropped lines would depend on timing.
func TestNeverBlocks(t *testing.T) {
	w := &blockedWriter{started: make(chan struct{}, 1), opened: make(chan struct{})}
	l := New(w, Plain, zap.InfoLevel)
	l.Info("line")
	<-w.started
	big := strings.Repeat("x", maxQueuedBytes/2+1)
	for range 3 { // two of them are over the bound of bytes
		if _, err := io.WriteString(l, big); err != nil {
			t.Error(err)
		}
	}
	testkit.Equal(t, "dropped for their bytes", int64(2), l.DroppedLines())
	for range maxQueuedLines - 1 + 500 { // the big line takes one place
		l.Info("line")
	}
	testkit.Equal(t, "dropped for their number too", int64(502), l.DroppedLines())
	if err := l.Close(); err == nil {
		t.Error("Close succeeded though nothing was read")
	}
	close(w.opened)
	<-l.queue.done
	text := w.buf.String()
	if !strings.HasSuffix(text, "log lines dropped: the reader of standard error is too slow\t{\"lines\": 502}\n") || strings.Count(text, "line\n") != maxQueuedLines {
		t.Errorf("%d lines, %.80q", strings.Count(text, "line\n"), text[max(0, len(text)-80):])
	}
}

func TestParse(t *testing.T) {
	form, level, err := Parse("json,debug")
	testkit.Equal(t, "read", []any{JSON, zap.DebugLevel, nil}, []any{form, level, err})
	if _, _, err := Parse("xml"); err == nil {
		t.Error("form xml was accepted")
	}
}

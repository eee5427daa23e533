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

// blockedWriter blocks writes until opened is closed.
type blockedWriter struct {
	started chan struct{} // receives a value when a write begins, unless its buffer is full
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

func TestFormats(t *testing.T) {
	for format, want := range map[Format]string{Plain: "it happened\t{\"n\": 3, \"in\": \"2s\"}\n", Console: "\tinfo\tit happened\t{\"n\": 3, \"in\": \"2s\"}\n"} {
		var b bytes.Buffer
		l := New(&b, format, zap.InfoLevel)
		l.Debug("not this")
		l.Info("it happened", zap.Int("n", 3), zap.Duration("in", 2*time.Second))
		testkit.Equal(t, "close", nil, l.Close())
		if !strings.HasSuffix(b.String(), want) {
			t.Errorf("format %d: got %q", format, b.String())
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
		t.Error("the unknown level loud was accepted")
	}
	testkit.Equal(t, "close", nil, l.Close())
	testkit.Equal(t, "lines", "two\n", b.String())
}

// TestNeverBlocks checks that a logger does not block its callers while the reader does not read, and that dropped lines are
// counted and logged once it reads again. The test waits until the first line blocks the writer, because otherwise the number of
// dropped lines would depend on timing.
func TestNeverBlocks(t *testing.T) {
	w := &blockedWriter{started: make(chan struct{}, 1), opened: make(chan struct{})}
	l := New(w, Plain, zap.InfoLevel)
	l.Info("line")
	<-w.started
	big := strings.Repeat("x", maxQueuedBytes/2+1)
	for range 3 { // two of them exceed maxQueuedBytes
		if _, err := io.WriteString(l, big); err != nil {
			t.Error(err)
		}
	}
	testkit.Equal(t, "lines dropped because of maxQueuedBytes", int64(2), l.DroppedLines())
	for range maxQueuedLines - 1 + 500 { // the big line occupies one place in the queue
		l.Info("line")
	}
	testkit.Equal(t, "lines dropped because of maxQueuedBytes and maxQueuedLines", int64(502), l.DroppedLines())
	if err := l.Close(); err == nil {
		t.Error("Close succeeded although nothing was read")
	}
	close(w.opened)
	<-l.queue.done
	text := w.buf.String()
	if !strings.HasSuffix(text, "log lines dropped: the reader of standard error is too slow\t{\"lines\": 502}\n") || strings.Count(text, "line\n") != maxQueuedLines {
		t.Errorf("got %d lines, ending in %.80q", strings.Count(text, "line\n"), text[max(0, len(text)-80):])
	}
}

func TestParse(t *testing.T) {
	format, level, err := Parse("json,debug")
	testkit.Equal(t, "read", []any{JSON, zap.DebugLevel, nil}, []any{format, level, err})
	if _, _, err := Parse("xml"); err == nil {
		t.Error("the unknown format xml was accepted")
	}
}

// Package logging writes structured lines without ever making the event loop wait: they go through a bounded queue to
// a goroutine of its own, and what finds the queue full is counted and told of later.
package logging

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Form is how lines are written.
type Form int

const (
	Plain   Form = iota // the words, then the fields: what the platform has always seen
	Console             // with time and level before them
	JSON
)

// maxWaiting bounds the lines that wait for a slow reader, and maxHeld their bytes.
const (
	maxWaiting = 4096
	maxHeld    = 4 << 20
)

// closeTime is how long Close waits for a reader that does not read.
const closeTime = time.Second

// Logger writes lines. All of it may be used from any goroutine.
type Logger struct {
	*zap.Logger
	form  Form
	level zap.AtomicLevel
	out   *queue
}

// Parse reads how to log from words such as "json,debug"; what they do not say stays plain and at info.
func Parse(words string) (Form, zapcore.Level, error) {
	form, level := Plain, zapcore.InfoLevel
	for _, w := range strings.FieldsFunc(words, func(r rune) bool { return r == ',' || r == ' ' }) {
		switch w {
		case "plain":
			form = Plain
		case "console":
			form = Console
		case "json":
			form = JSON
		case "debug", "info", "warn", "error":
			_ = level.UnmarshalText([]byte(w))
		default:
			return form, level, fmt.Errorf("%q is neither a form (plain, console, json) nor a level (debug, info, warn, error) of logging", w)
		}
	}
	return form, level, nil
}

// New begins to write to w.
func New(w io.Writer, form Form, level zapcore.Level) *Logger {
	c := zapcore.EncoderConfig{MessageKey: "msg", NameKey: "logger", EncodeDuration: zapcore.StringDurationEncoder}
	if form != Plain {
		c.TimeKey, c.LevelKey = "time", "level"
		c.EncodeTime = zapcore.TimeEncoderOfLayout("2006-01-02T15:04:05.000Z0700")
		c.EncodeLevel = zapcore.LowercaseLevelEncoder
	}
	encoder := zapcore.NewConsoleEncoder(c)
	if form == JSON {
		encoder = zapcore.NewJSONEncoder(c)
	}
	l := &Logger{form: form, level: zap.NewAtomicLevelAt(level), out: newQueue(w)}
	l.Logger = zap.New(zapcore.NewCore(encoder, l.out, l.level))
	l.out.lost = func(n int64) { l.Warn("log lines were lost, as they were not read in time", zap.Int64("lines", n)) }
	return l
}

// Write writes a text that was asked for, such as the counters' line, at any level: as it is, or as a JSON line's words.
func (l *Logger) Write(p []byte) (int, error) {
	if l.form != JSON {
		return l.out.Write(p)
	}
	return len(p), l.Core().Write(zapcore.Entry{Level: zap.InfoLevel, Time: time.Now(), Message: strings.TrimSpace(string(p))}, nil)
}

// Level is the least severe level that is written now.
func (l *Logger) Level() string { return l.level.String() }

// SetLevel changes it.
func (l *Logger) SetLevel(name string) error {
	var level zapcore.Level
	if err := level.UnmarshalText([]byte(name)); err != nil || level < zapcore.DebugLevel || level > zapcore.ErrorLevel {
		return fmt.Errorf("%q is no level: there is debug, info, warn and error", name)
	}
	l.level.SetLevel(level)
	return nil
}

// Lost is how many lines found the queue full.
func (l *Logger) Lost() int64 { return l.out.dropped.Load() }

// Close writes what waits, for a while; a reader that does not read is not waited for longer.
func (l *Logger) Close() error { return l.out.close() }

// queue holds lines until they are written.
type queue struct {
	w       io.Writer
	lines   chan []byte
	held    atomic.Int64
	dropped atomic.Int64
	lost    func(int64)
	told    int64
	closing sync.Once
	ended   chan struct{}
	end     chan struct{}
}

func newQueue(w io.Writer) *queue {
	q := &queue{w: w, lines: make(chan []byte, maxWaiting), ended: make(chan struct{}), end: make(chan struct{})}
	go q.run()
	return q
}

// Write never blocks. It takes a copy.
func (q *queue) Write(p []byte) (int, error) {
	if q.held.Add(int64(len(p))) > maxHeld {
		q.held.Add(-int64(len(p)))
		q.dropped.Add(1)
		return len(p), nil
	}
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		q.held.Add(-int64(len(p)))
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Sync is zapcore's; a line is on its way as soon as it can be.
func (q *queue) Sync() error { return nil }

func (q *queue) run() {
	defer close(q.ended)
	for {
		select {
		case b := <-q.lines:
			q.write(b)
		case <-q.end:
			for {
				select {
				case b := <-q.lines:
					q.write(b)
				default:
					return
				}
			}
		}
	}
}

func (q *queue) write(b []byte) {
	q.held.Add(-int64(len(b)))
	_, _ = q.w.Write(b)
	if n := q.dropped.Load(); n > q.told && len(q.lines) == 0 {
		lost := n - q.told
		q.told = n
		q.lost(lost)
	}
}

var errUnread = errors.New("the log was not read to its end")

func (q *queue) close() error {
	q.closing.Do(func() { close(q.end) })
	select {
	case <-q.ended:
		return nil
	case <-time.After(closeTime):
		return errUnread
	}
}

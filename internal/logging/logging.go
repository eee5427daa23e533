// Package logging writes structured log lines without ever blocking the caller: lines go through a bounded queue to a
// goroutine that writes them. Lines that find the queue full are dropped, counted and reported later.
package logging

import (
	"bytes"
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

// Format is the format of log lines.
type Format int

// The forms.
const (
	Plain   Format = iota // the message, then the fields as JSON; no time and no level, which the platform adds
	Console               // time, level, message, fields
	JSON                  // one JSON object a line
)

// Bounds of the queue, for a reader of standard error that is slow.
const (
	maxQueuedLines = 4096
	maxQueuedBytes = 4 << 20
)

// closeTimeout bounds how long Close waits for queued lines to be written.
const closeTimeout = time.Second

// Logger writes log lines. It may be used from any goroutine. Its queue's goroutine runs until Close.
type Logger struct {
	*zap.Logger
	form  Format
	level zap.AtomicLevel // the least severe level that is written
	queue *queue
}

// Parse reads form and level from a specification such as "json,debug", with commas or blanks between its words, of which the
// last of a kind counts. The defaults are Plain and info.
func Parse(spec string) (Format, zapcore.Level, error) {
	form, level := Plain, zapcore.InfoLevel
	for _, word := range strings.FieldsFunc(spec, func(r rune) bool { return r == ',' || r == ' ' }) {
		switch word {
		case "plain":
			form = Plain
		case "console":
			form = Console
		case "json":
			form = JSON
		case "debug", "info", "warn", "error":
			_ = level.UnmarshalText([]byte(word)) // it knows these names
		default:
			return form, level, fmt.Errorf(
				"%q is neither a form (plain, console, json) nor a level (debug, info, warn, error) of logging", word)
		}
	}
	return form, level, nil
}

// New returns a logger that writes to writer until Close. Errors of the writer are ignored: there is nowhere to report them.
func New(writer io.Writer, form Format, level zapcore.Level) *Logger {
	logger := &Logger{form: form, level: zap.NewAtomicLevelAt(level), queue: newQueue(writer)}
	logger.Logger = zap.New(zapcore.NewCore(newEncoder(form), logger.queue, logger.level))
	logger.queue.reportDropped = func(lines int64) {
		logger.Warn("log lines dropped: the reader of standard error is too slow", zap.Int64("lines", lines))
	}
	return logger
}

func newEncoder(form Format) zapcore.Encoder {
	config := zapcore.EncoderConfig{MessageKey: "msg", NameKey: "logger", EncodeDuration: zapcore.StringDurationEncoder}
	if form != Plain {
		config.TimeKey = "time"
		config.LevelKey = "level"
		config.EncodeTime = zapcore.TimeEncoderOfLayout("2006-01-02T15:04:05.000Z0700")
		config.EncodeLevel = zapcore.LowercaseLevelEncoder
	}
	if form == JSON {
		return zapcore.NewJSONEncoder(config)
	}
	return zapcore.NewConsoleEncoder(config)
}

// Write writes a text that an operator asked for, such as the counters, whatever the level: as it is, or as the message of a
// JSON line.
func (l *Logger) Write(p []byte) (int, error) {
	if l.form != JSON {
		return l.queue.Write(p)
	}
	entry := zapcore.Entry{Level: zap.InfoLevel, Time: time.Now(), Message: strings.TrimSpace(string(p))}
	return len(p), l.Core().Write(entry, nil)
}

// Level is the name of the least severe level that is written.
func (l *Logger) Level() string { return l.level.String() }

// SetLevel changes the least severe level that is written: debug, info, warn or error.
func (l *Logger) SetLevel(name string) error {
	var level zapcore.Level
	if err := level.UnmarshalText([]byte(name)); err != nil || level < zapcore.DebugLevel || level > zapcore.ErrorLevel {
		return fmt.Errorf("%q is no level: there is debug, info, warn and error", name)
	}
	l.level.SetLevel(level)
	return nil
}

// DroppedLines is how many lines have been dropped because the queue was full.
func (l *Logger) DroppedLines() int64 { return l.queue.dropped.Load() }

// Close writes the queued lines and ends the writing goroutine. It fails if that takes longer than closeTimeout.
func (l *Logger) Close() error { return l.queue.close() }

// queue is a bounded queue of lines and the goroutine that writes them. It is a zapcore.WriteSyncer.
type queue struct {
	writer        io.Writer
	lines         chan []byte
	queuedBytes   atomic.Int64
	dropped       atomic.Int64  // lines, since the start
	reported      int64         // of dropped; of the goroutine alone
	reportDropped func(n int64) // logs how many lines were dropped since the last report
	stopOnce      sync.Once
	stop          chan struct{} // closed by close
	done          chan struct{} // closed once the goroutine has ended
}

func newQueue(w io.Writer) *queue {
	q := &queue{
		writer: w,
		lines:  make(chan []byte, maxQueuedLines),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	go q.run()
	return q
}

// Write queues a copy of a line, or drops it where the queue is full. It never blocks.
func (q *queue) Write(p []byte) (int, error) {
	if q.queuedBytes.Add(int64(len(p))) > maxQueuedBytes {
		q.drop(p)
		return len(p), nil
	}
	select {
	case q.lines <- bytes.Clone(p):
	default:
		q.drop(p)
	}
	return len(p), nil
}

// drop counts a line that is not queued, and takes its bytes off the queue's.
func (q *queue) drop(line []byte) {
	q.queuedBytes.Add(-int64(len(line)))
	q.dropped.Add(1)
}

// Sync does nothing: queued lines are written as soon as the reader takes them.
func (q *queue) Sync() error { return nil }

// run writes lines as they come, and after stop those that are still queued.
func (q *queue) run() {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		case <-q.stop:
			q.writeQueued()
			return
		}
	}
}

func (q *queue) writeQueued() {
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line. Once the queue is empty it reports the lines that were dropped meanwhile.
func (q *queue) writeLine(line []byte) {
	q.queuedBytes.Add(-int64(len(line)))
	_, _ = q.writer.Write(line) // there is nowhere to report an error
	dropped := q.dropped.Load()
	if dropped == q.reported || len(q.lines) > 0 {
		return
	}
	unreported := dropped - q.reported
	q.reported = dropped
	q.reportDropped(unreported)
}

var errNotDrained = errors.New("log lines were left unwritten: the reader of standard error is too slow")

// close ends the goroutine. It may be called again.
func (q *queue) close() error {
	q.stopOnce.Do(func() { close(q.stop) })
	select {
	case <-q.done:
		return nil
	case <-time.After(closeTimeout):
		return errNotDrained
	}
}

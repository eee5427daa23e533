// Package logging writes structured log lines without blocking the caller: a goroutine writes the lines from a bounded queue.
// Lines that do not fit into the queue are dropped and counted, and their number is logged later.
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

// Log formats.
const (
	Plain   Format = iota // the message, then the fields as JSON, without time and level, which the platform adds
	Console               // time, level, message, fields
	JSON                  // one JSON object per line
)

// Limits of the queue, which fills if the reader of standard error is slow.
const (
	maxQueuedLines = 4096
	maxQueuedBytes = 4 << 20
)

// closeTimeout bounds how long Close waits for queued lines to be written.
const closeTimeout = time.Second

// Logger writes log lines. It is safe for concurrent use. Its writing goroutine runs until Close.
type Logger struct {
	*zap.Logger
	format Format
	level  zap.AtomicLevel // the minimum level of lines that are written
	queue  *queue
}

// Parse parses a specification of a format and a level, such as "json,debug", whose words are separated by commas or spaces. The
// last format and the last level apply; the defaults are Plain and info. Parse returns an error for an unknown word.
func Parse(spec string) (Format, zapcore.Level, error) {
	format, level := Plain, zapcore.InfoLevel
	for _, word := range strings.FieldsFunc(spec, func(r rune) bool { return r == ',' || r == ' ' }) {
		switch word {
		case "plain":
			format = Plain
		case "console":
			format = Console
		case "json":
			format = JSON
		case "debug", "info", "warn", "error":
			_ = level.UnmarshalText([]byte(word)) // cannot fail: these are names of levels
		default:
			return format, level, fmt.Errorf(
				"invalid log setting %q: want a format (plain, console, json) or a level (debug, info, warn, error)", word)
		}
	}
	return format, level, nil
}

// New returns a logger that writes to writer until Close. It ignores errors of the writer, because it has no other place to report
// them.
func New(writer io.Writer, format Format, level zapcore.Level) *Logger {
	logger := &Logger{format: format, level: zap.NewAtomicLevelAt(level), queue: newQueue(writer)}
	logger.Logger = zap.New(zapcore.NewCore(newEncoder(format), logger.queue, logger.level))
	logger.queue.logDropped = func(lines int64) {
		logger.Warn("log lines dropped: the reader of standard error is too slow", zap.Int64("lines", lines))
	}
	return logger
}

// newEncoder returns the encoder for a format.
func newEncoder(format Format) zapcore.Encoder {
	config := zapcore.EncoderConfig{MessageKey: "msg", NameKey: "logger", EncodeDuration: zapcore.StringDurationEncoder}
	if format != Plain {
		config.TimeKey = "time"
		config.LevelKey = "level"
		config.EncodeTime = zapcore.TimeEncoderOfLayout("2006-01-02T15:04:05.000Z0700")
		config.EncodeLevel = zapcore.LowercaseLevelEncoder
	}
	if format == JSON {
		return zapcore.NewJSONEncoder(config)
	}
	return zapcore.NewConsoleEncoder(config)
}

// Write writes text that an operator requested, such as the counters, regardless of the level. It writes the text unchanged, or
// in format JSON as the message of a line.
func (l *Logger) Write(p []byte) (int, error) {
	if l.format != JSON {
		return l.queue.Write(p)
	}
	entry := zapcore.Entry{Level: zap.InfoLevel, Time: time.Now(), Message: strings.TrimSpace(string(p))}
	return len(p), l.Core().Write(entry, nil)
}

// Level returns the name of the minimum level.
func (l *Logger) Level() string { return l.level.String() }

// SetLevel sets the minimum level of lines that are written to debug, info, warn or error. It returns an error for other names.
func (l *Logger) SetLevel(name string) error {
	var level zapcore.Level
	if err := level.UnmarshalText([]byte(name)); err != nil || level < zapcore.DebugLevel || level > zapcore.ErrorLevel {
		return fmt.Errorf("invalid log level %q: want debug, info, warn or error", name)
	}
	l.level.SetLevel(level)
	return nil
}

// DroppedLines returns the number of lines that were dropped because the queue was full.
func (l *Logger) DroppedLines() int64 { return l.queue.dropped.Load() }

// Close writes the queued lines and stops the writing goroutine. It returns an error if that takes longer than closeTimeout.
func (l *Logger) Close() error { return l.queue.close() }

// queue is a bounded queue of lines with a goroutine that writes them. It implements zapcore.WriteSyncer.
type queue struct {
	writer      io.Writer
	lines       chan []byte
	queuedBytes atomic.Int64
	dropped     atomic.Int64  // number of dropped lines since the start
	loggedDrops int64         // value of dropped at the last log line about it; used only by the goroutine
	logDropped  func(n int64) // logs that n more lines were dropped
	stopOnce    sync.Once
	stop        chan struct{} // closed by close
	done        chan struct{} // closed once the goroutine has ended
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

// Write queues a copy of a line, or drops the line if the queue is full. It never blocks or fails.
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

// drop counts a dropped line and subtracts its length from queuedBytes.
func (q *queue) drop(line []byte) {
	q.queuedBytes.Add(-int64(len(line)))
	q.dropped.Add(1)
}

// Sync does nothing, because the goroutine writes queued lines without delay.
func (q *queue) Sync() error { return nil }

// run writes queued lines until stop is closed, and then the lines that are still queued.
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

// writeQueued writes lines until the queue is empty.
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

// writeLine writes a line. If the queue is empty then, it logs how many lines were dropped since the last such log line.
func (q *queue) writeLine(line []byte) {
	q.queuedBytes.Add(-int64(len(line)))
	_, _ = q.writer.Write(line) // there is no other place to report an error
	dropped := q.dropped.Load()
	if dropped == q.loggedDrops || len(q.lines) > 0 {
		return
	}
	newDrops := dropped - q.loggedDrops
	q.loggedDrops = dropped
	q.logDropped(newDrops)
}

var errLinesUnwritten = errors.New("some queued log lines were not written: the reader of standard error is too slow")

// close stops the goroutine and waits for it, up to closeTimeout. It may be called more than once.
func (q *queue) close() error {
	q.stopOnce.Do(func() { close(q.stop) })
	select {
	case <-q.done:
		return nil
	case <-time.After(closeTimeout):
		return errLinesUnwritten
	}
}

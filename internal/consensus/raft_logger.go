package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3"
)

// LogLevel is the severity of a log line from the raft library.
type LogLevel int

// Log levels, in increasing order of severity.
const (
	LogDebug LogLevel = iota
	LogInfo
	LogWarn
	LogError
)

// raftLogger passes the raft library's log lines to Config.Log. Fatal and Panic must not return, so they panic; Node.guard
// recovers from that.
type raftLogger struct {
	write func(level LogLevel, text string) // nil: lines are dropped
}

var _ raft.Logger = raftLogger{}

func (l raftLogger) log(level LogLevel, values ...any) {
	if l.write != nil {
		l.write(level, fmt.Sprint(values...))
	}
}

func (l raftLogger) logf(level LogLevel, format string, values ...any) {
	if l.write != nil {
		l.write(level, fmt.Sprintf(format, values...))
	}
}

// Debug implements raft.Logger.
func (l raftLogger) Debug(values ...any) { l.log(LogDebug, values...) }

// Debugf implements raft.Logger.
func (l raftLogger) Debugf(format string, values ...any) { l.logf(LogDebug, format, values...) }

// Info implements raft.Logger.
func (l raftLogger) Info(values ...any) { l.log(LogInfo, values...) }

// Infof implements raft.Logger.
func (l raftLogger) Infof(format string, values ...any) { l.logf(LogInfo, format, values...) }

// Warning implements raft.Logger.
func (l raftLogger) Warning(values ...any) { l.log(LogWarn, values...) }

// Warningf implements raft.Logger.
func (l raftLogger) Warningf(format string, values ...any) { l.logf(LogWarn, format, values...) }

// Error implements raft.Logger.
func (l raftLogger) Error(values ...any) { l.log(LogError, values...) }

// Errorf implements raft.Logger.
func (l raftLogger) Errorf(format string, values ...any) { l.logf(LogError, format, values...) }

// Fatal implements raft.Logger.
func (l raftLogger) Fatal(values ...any) { panic(fmt.Sprint(values...)) }

// Fatalf implements raft.Logger.
func (l raftLogger) Fatalf(format string, values ...any) { panic(fmt.Sprintf(format, values...)) }

// Panic implements raft.Logger.
func (l raftLogger) Panic(values ...any) { panic(fmt.Sprint(values...)) }

// Panicf implements raft.Logger.
func (l raftLogger) Panicf(format string, values ...any) { panic(fmt.Sprintf(format, values...)) }

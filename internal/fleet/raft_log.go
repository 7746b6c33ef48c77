package fleet

import (
	"fmt"
	"log/slog"
)

// raftLog writes the raft library's messages to the sender's log: errors at warn, others at debug. Fatal and Panic panic, which ends the voter's
// worker. It implements raft.Logger.
type raftLog struct{ log *slog.Logger }

func (l raftLog) debug(text string) { l.log.Debug("raft", "says", text) }
func (l raftLog) warn(text string)  { l.log.Warn("raft", "says", text) }

// Debug logs at debug.
func (l raftLog) Debug(v ...any) { l.debug(fmt.Sprint(v...)) }

// Debugf logs at debug.
func (l raftLog) Debugf(format string, v ...any) { l.debug(fmt.Sprintf(format, v...)) }

// Info logs at debug.
func (l raftLog) Info(v ...any) { l.debug(fmt.Sprint(v...)) }

// Infof logs at debug.
func (l raftLog) Infof(format string, v ...any) { l.debug(fmt.Sprintf(format, v...)) }

// Warning logs at debug.
func (l raftLog) Warning(v ...any) { l.debug(fmt.Sprint(v...)) }

// Warningf logs at debug.
func (l raftLog) Warningf(format string, v ...any) { l.debug(fmt.Sprintf(format, v...)) }

// Error logs at warn.
func (l raftLog) Error(v ...any) { l.warn(fmt.Sprint(v...)) }

// Errorf logs at warn.
func (l raftLog) Errorf(format string, v ...any) { l.warn(fmt.Sprintf(format, v...)) }

// Fatal panics.
func (l raftLog) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics.
func (l raftLog) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic panics.
func (l raftLog) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics.
func (l raftLog) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

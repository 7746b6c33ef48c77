package fleet

import (
	"fmt"
	"log/slog"
)

// raftLog is the library's log: what it says goes to debug, and what it can't bear is a panic of the duty.
type raftLog struct{ log *slog.Logger }

func (l raftLog) Debug(v ...any) { l.log.Debug("raft", "says", fmt.Sprint(v...)) }

func (l raftLog) Debugf(f string, v ...any) { l.log.Debug("raft", "says", fmt.Sprintf(f, v...)) }

func (l raftLog) Info(v ...any) { l.log.Debug("raft", "says", fmt.Sprint(v...)) }

func (l raftLog) Infof(f string, v ...any) { l.log.Debug("raft", "says", fmt.Sprintf(f, v...)) }

func (l raftLog) Warning(v ...any) { l.log.Debug("raft", "says", fmt.Sprint(v...)) }

func (l raftLog) Warningf(f string, v ...any) { l.log.Debug("raft", "says", fmt.Sprintf(f, v...)) }

func (l raftLog) Error(v ...any) { l.log.Warn("raft", "says", fmt.Sprint(v...)) }

func (l raftLog) Errorf(f string, v ...any) { l.log.Warn("raft", "says", fmt.Sprintf(f, v...)) }

func (l raftLog) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

func (l raftLog) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

func (l raftLog) Panic(v ...any) { panic(fmt.Sprint(v...)) }

func (l raftLog) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

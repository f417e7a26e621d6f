// Package jsonl is the end sink that writes each end as a line of JSON to a file
// that is rotated.
package jsonl

import (
	"context"
	"log/slog"
	"time"

	"gopkg.in/natefinch/lumberjack.v2"

	"cometrack/internal/message"
	"cometrack/internal/sink"
)

const (
	batch = 512             // lines written in one go
	pause = 1 * time.Second // after a write that failed
)

// Options set a file up.
type Options struct {
	Path       string
	MaxMB      int // of one file
	MaxBackups int // older files
	MaxQueued  int // ends that wait; the oldest is given up above it
	Log        *slog.Logger
}

// Sink writes ends in their order. A line is confirmed once it has been written;
// one that was written in part, because the disk was full, is written again whole.
type Sink struct {
	opts  Options
	queue *sink.Queue
	file  *lumberjack.Logger
}

// New makes a sink; the file is opened with the first line.
func New(opts Options) *Sink {
	return &Sink{opts: opts, queue: sink.NewQueue(opts.MaxQueued, opts.Log),
		file: &lumberjack.Logger{Filename: opts.Path, MaxSize: opts.MaxMB, MaxBackups: opts.MaxBackups}}
}

// Add queues an end.
func (s *Sink) Add(m *message.Message, e message.End) { s.queue.Add(sink.NewNotice(m, e)) }

// Run writes what waits until ctx is over.
func (s *Sink) Run(ctx context.Context, confirm func(ids []string)) {
	defer s.file.Close()
	go s.queue.ConfirmDropped(ctx, confirm)
	broken := false // the last write may have left part of a line
	for {
		lines := s.queue.Take(batch)
		if len(lines) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-s.queue.Ready:
			}
			continue
		}
		var text []byte
		var ids []string
		for _, l := range lines {
			text = append(append(text, l.JSON()...), '\n')
			ids = append(ids, l.ID)
		}
		for {
			out := text
			if broken {
				out = append([]byte{'\n'}, text...)
			}
			_, err := s.file.Write(out)
			if broken = err != nil; !broken {
				break
			}
			s.opts.Log.Error("end file", "path", s.opts.Path, "err", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
		}
		confirm(ids)
	}
}

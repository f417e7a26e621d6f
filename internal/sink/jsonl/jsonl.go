// Package jsonl is the end sink that writes each notice as a line of JSON to a rotated file.
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
	maxBatch   = 512             // notices per write
	retryDelay = 1 * time.Second // after a failed write
)

// Options configure a file.
type Options struct {
	Path       string
	MaxMB      int // size of one file
	MaxBackups int // rotated files to keep
	MaxQueued  int // queued notices; beyond it the oldest is dropped
	Log        *slog.Logger
}

// Sink writes notices in order. A notice is confirmed after it was written. One that was written in
// part, for example to a full disk, is written again completely.
type Sink struct {
	opts  Options
	queue *sink.Queue
	file  *lumberjack.Logger
}

// New returns a sink. The file is opened with the first write.
func New(opts Options) *Sink {
	return &Sink{opts: opts, queue: sink.NewQueue(opts.MaxQueued, opts.Log),
		file: &lumberjack.Logger{Filename: opts.Path, MaxSize: opts.MaxMB, MaxBackups: opts.MaxBackups}}
}

// Add queues the notice of an end. It never blocks.
func (s *Sink) Add(m *message.Message, e message.End) { s.queue.Add(sink.NewNotice(m, e)) }

// Run writes queued notices until ctx is done.
func (s *Sink) Run(ctx context.Context, confirm func(ids []string)) {
	defer s.file.Close()
	go s.queue.ConfirmDropped(ctx, confirm)
	partial := false // the last write may have left part of a line
	for {
		notices := s.queue.Take(maxBatch)
		if len(notices) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-s.queue.Ready:
			}
			continue
		}
		var text []byte
		var ids []string
		for _, notice := range notices {
			text = append(append(text, notice.JSON()...), '\n')
			ids = append(ids, notice.ID)
		}
		for {
			data := text
			if partial {
				data = append([]byte{'\n'}, text...)
			}
			_, err := s.file.Write(data)
			if partial = err != nil; !partial {
				break
			}
			s.opts.Log.Error("end file: write failed", "path", s.opts.Path, "err", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(retryDelay):
			}
		}
		confirm(ids)
	}
}

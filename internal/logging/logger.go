// Package logging creates the loggers of the program's processes. A logger never blocks its process and writes a bounded number of lines,
// whatever peers do.
package logging

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	maxLinesPerInterval = 50 // per level; further lines are dropped without a count
	interval            = time.Second
	maxQueuedLines      = 256                    // if the reader is slow; beyond that the oldest lines are dropped and counted
	flushTimeout        = 100 * time.Millisecond // so that a shutdown does not wait for the reader of the log
)

// New returns a logger that never blocks on w, and a function that flushes the queued lines at the end, for flushTimeout at most.
func New(w io.Writer, level zerolog.Level) (zerolog.Logger, func()) {
	var log zerolog.Logger
	out := diode.NewWriter(w, maxQueuedLines, 0, func(missed int) {
		log.Warn().Int("lines", missed).Msg("log lines dropped")
	})
	burst := func() zerolog.Sampler {
		return &zerolog.BurstSampler{Burst: maxLinesPerInterval, Period: interval}
	}
	log = zerolog.New(out).Level(level).With().Timestamp().Logger().Sample(zerolog.LevelSampler{
		DebugSampler: burst(), InfoSampler: burst(), WarnSampler: burst(), ErrorSampler: burst()})
	return log, func() {
		done := make(chan struct{})
		go func() {
			out.Close()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(flushTimeout):
		}
	}
}

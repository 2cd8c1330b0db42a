package proxy

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	maxLogLinesPerInterval = 50 // per level; further lines are dropped without a count
	logInterval            = time.Second
	maxQueuedLogLines      = 256                    // if the reader is slow; beyond that the oldest lines are dropped and counted
	logFlushTimeout        = 100 * time.Millisecond // so that a shutdown does not wait for the reader of the log
)

// NewLogger returns a logger that never blocks on w, and a function that flushes the queued lines at the end, for logFlushTimeout at most.
func NewLogger(w io.Writer, level zerolog.Level) (zerolog.Logger, func()) {
	var log zerolog.Logger
	out := diode.NewWriter(w, maxQueuedLogLines, 0, func(missed int) {
		log.Warn().Int("lines", missed).Msg("log lines dropped")
	})
	burst := func() zerolog.Sampler {
		return &zerolog.BurstSampler{Burst: maxLogLinesPerInterval, Period: logInterval}
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
		case <-time.After(logFlushTimeout):
		}
	}
}

package proxy

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	maxLogLinesPerInterval = 50 // of each level; lines beyond are left out and not counted
	logInterval            = time.Second
	maxQueuedLogLines      = 256                    // for a slow reader; then the oldest are overwritten and counted
	logFlushTimeout        = 100 * time.Millisecond // so that a stop does not wait for the reader of the log
)

// NewLogger returns a logger that never waits for w, and the function that writes out what is queued at the end.
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

package proxy

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	maxLogLinesPerInterval = 50                     // lines a second at most of each level; more would hide what matters
	maxQueuedLogLines      = 256                    // lines that wait for a slow reader; what is beyond is dropped and counted
	logInterval            = time.Second            // for which logBurst counts
	logFlushTimeout        = 100 * time.Millisecond // for what is left to be written at the end, so that a stop does not hang on it
)

// NewLogger writes to w without ever waiting for it. The function it returns writes out what is left.
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

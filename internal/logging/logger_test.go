package logging

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// A log reader that has stopped reading must not block the work or the shutdown of a process.
func TestLogNeverBlocks(t *testing.T) {
	t.Parallel()
	w := blockedWriter{make(chan struct{})}
	log, flush := New(w, zerolog.InfoLevel)
	for range 10 * maxQueuedLines {
		log.Warn().Msg("line")
	}
	flush()
	close(w.release)
}

// Peers that cause a line with each message must not let the log grow without end.
func TestLogIsBounded(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	log, flush := New(&out, zerolog.InfoLevel)
	started := time.Now()
	for range 10 * maxLinesPerInterval {
		log.Info().Msg("line")
		log.Warn().Msg("line")
	}
	flush()
	intervals := int(time.Since(started)/interval) + 1
	if lines := bytes.Count(out.Bytes(), []byte("\n")); lines == 0 || lines > 2*maxLinesPerInterval*intervals {
		t.Errorf("got %d lines in %d intervals, want some, and at most %d in each", lines, intervals, 2*maxLinesPerInterval)
	}
}

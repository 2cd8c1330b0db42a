package proxy

import (
	"testing"

	"github.com/rs/zerolog"
)

type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// A log reader that has stopped reading must not block requests or the shutdown of the node.
func TestLogNeverBlocks(t *testing.T) {
	t.Parallel()
	w := blockedWriter{make(chan struct{})}
	log, flush := NewLogger(w, zerolog.InfoLevel)
	for range 10 * maxQueuedLogLines {
		log.Warn().Msg("line")
	}
	flush()
	close(w.release)
}

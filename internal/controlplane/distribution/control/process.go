package control

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"fernvane/internal/logging"
)

// Process runs a control process until SIGTERM or SIGINT, writes its log to errs and returns the exit code.
func Process(config *Config, errs io.Writer) int {
	log, flush := logging.New(errs, zerolog.InfoLevel)
	defer flush()
	signal.Ignore(syscall.SIGPIPE) // the process must not terminate when the reader of its log does
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := Run(ctx, config, log); err != nil {
		log.Error().Err(err).Msg("control process failed")
		return 1
	}
	return 0
}

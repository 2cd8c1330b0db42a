package control

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
)

// Process runs a control process as the life of this one, until SIGTERM or SIGINT. It returns the exit code.
func Process(config *Config, errs io.Writer) int {
	log := zerolog.New(errs).With().Timestamp().Logger()
	signal.Ignore(syscall.SIGPIPE) // or it would end with the reader of its log
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := Run(ctx, config, log); err != nil {
		log.Error().Err(err).Msg("cannot control")
		return 1
	}
	return 0
}

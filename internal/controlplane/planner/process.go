package planner

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"fernvane/internal/controlplane/planconfig"
)

// Process runs a planner as the life of this process, until SIGTERM or SIGINT. It returns the exit code.
func Process(cfg *planconfig.Planner, errs io.Writer) int {
	log := zerolog.New(errs).With().Timestamp().Logger()
	signal.Ignore(syscall.SIGPIPE) // or the planner would end with the reader of its log
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := Run(ctx, cfg, log); err != nil {
		log.Error().Err(err).Msg("cannot plan")
		return 1
	}
	return 0
}

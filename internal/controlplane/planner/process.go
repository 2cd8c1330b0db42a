package planner

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"fernvane/internal/controlplane/planconfig"
	"fernvane/internal/logging"
)

// Process runs a planner until SIGTERM or SIGINT, writes its log to logOutput and returns the exit code.
func Process(cfg *planconfig.Planner, logOutput io.Writer) int {
	log, flush := logging.New(logOutput, zerolog.InfoLevel)
	defer flush()
	signal.Ignore(syscall.SIGPIPE) // the planner must not terminate when the reader of its log does
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := Run(ctx, cfg, log); err != nil {
		log.Error().Err(err).Msg("planner failed")
		return 1
	}
	return 0
}

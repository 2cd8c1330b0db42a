package scale

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"fernvane/internal/plancfg"
	"fernvane/internal/planner"
	"fernvane/internal/serve"
)

func (plannersPlane) Control(ctx context.Context, l *Layout, n int) error {
	cfg, err := plancfg.LoadPlanner(l.planPath(n))
	if err != nil {
		return err
	}
	return planner.Run(ctx, cfg, zerolog.New(os.Stderr).With().Timestamp().Logger())
}

func (plannersPlane) Configure(l *Layout, node int, cfg *serve.Config) (err error) {
	cfg.Planners, err = plancfg.LoadForwarder(l.plannersPath(l.regionOf(node)))
	return err
}

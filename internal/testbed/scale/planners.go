package scale

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"fernvane/internal/controlplane/planconfig"
	"fernvane/internal/controlplane/planner"
	"fernvane/internal/proxy"
)

func (plannersPlane) Control(ctx context.Context, l *Layout, n int) error {
	cfg, err := planconfig.LoadPlanner(l.planPath(n))
	if err != nil {
		return err
	}
	return planner.Run(ctx, cfg, zerolog.New(os.Stderr).With().Timestamp().Logger())
}

func (plannersPlane) Configure(l *Layout, node int, cfg *proxy.Config) (err error) {
	cfg.Planners, err = planconfig.LoadForwarder(l.plannersPath(l.regionOf(node)))
	return err
}

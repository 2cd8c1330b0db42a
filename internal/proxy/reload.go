package proxy

import (
	"context"
	"errors"
	"os"
	"reflect"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/route"
)

// reloadOnSignal reloads the platform's file, the operator's file and the shadow settings on each signal, until the node stops. Changes to
// all other files take effect with a restart. If a file is invalid, the error is logged and the previous contents stay in effect. Changes
// that a running node cannot apply are logged too.
func (s *Server) reloadOnSignal(ctx context.Context, signals <-chan os.Signal) error {
	cfg := s.cfg
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		}
		s.reloadRoutes()
		s.reloadShadow()
		next, err := cfg.Reload()
		if err != nil {
			s.logger.Error().Err(err).Msg("configuration not reloaded")
			continue
		}
		if keys := s.cfg.changedKeys(next); len(keys) > 0 {
			s.logger.Warn().Strs("keys", keys).Msg("changes wait for a restart")
		}
		if next.Discovery != cfg.Discovery {
			s.changeDiscovery(next.Discovery)
		}
		cfg = next
		s.logger.Info().Stringer("discovery", cfg.Discovery).Msg("configuration reloaded")
	}
}

// reloadShadow reloads the settings whose decisions are compared with those of the node's own settings.
func (s *Server) reloadShadow() {
	if s.cfg.Shadow == nil {
		return
	}
	next, err := readShadowSettings(s.cfg.getenv("PROXY_WATCH"), &s.cfg.Settings)
	if err != nil {
		s.logger.Error().Err(err).Msg("watched settings not reloaded")
		return
	}
	s.cfg.Shadow.SetSettings(next)
	s.logger.Info().Msg("watched settings reloaded")
}

// reloadRoutes reloads the operator's file and checks it against the settings in effect.
func (s *Server) reloadRoutes() {
	if s.cfg.OperatorFile == "" {
		return
	}
	routes, err := route.Load(s.cfg.OperatorFile, &s.cfg.Settings)
	var faults tomlfile.Faults
	switch {
	case errors.As(err, &faults):
		for _, f := range faults {
			s.logger.Error().Err(f).Msg("routes not reloaded")
		}
	case err != nil:
		s.logger.Error().Err(err).Msg("routes not reloaded")
	default:
		if s.distribution != nil {
			s.distribution.setOperatorRoutes(routes)
		} else {
			s.dispatcher.SetRoutes(routes)
		}
		s.logger.Info().Int("routes", len(routes.Routes)).Msg("routes reloaded")
	}
}

// changedKeys returns the keys of the platform's file that have changed since the start and that a running node does not apply. The keys seed
// and known are not compared.
func (c Config) changedKeys(next Config) (keys []string) {
	for _, k := range []struct {
		key    string
		isSame bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"limits", c.Limits == next.Limits && c.Cores == next.Cores},
		{"settings", reflect.DeepEqual(c.Settings, next.Settings)},
	} {
		if !k.isSame {
			keys = append(keys, k.key)
		}
	}
	return keys
}

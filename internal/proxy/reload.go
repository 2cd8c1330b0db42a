package proxy

import (
	"context"
	"errors"
	"os"
	"reflect"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/route"
)

// reloadOnSignal reads the platform's file, the operator's file and the shadow settings again on each signal, until the node ends. All other
// files wait for a restart. A file that cannot be used is logged and
// leaves what it says as it was. Changes that a running node cannot take up are logged too.
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

// reloadShadow reads the settings again that are compared with the node's own.
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

// reloadRoutes reads the operator's file again, against the settings that the node runs under.
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

// changedKeys names the keys of the platform's file, but for seed and known, whose new values a running node does not take up.
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

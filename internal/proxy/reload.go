package proxy

import (
	"context"
	"errors"
	"os"
	"reflect"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/route"
)

// reload reads the configuration again each time it is told to, beside the serving. One of no use is logged and
// the old one kept; what the running parts stand on is not changed under them but told to need a restart.
func (s *Server) reloadOnSignal(ctx context.Context, told <-chan os.Signal) error {
	cfg := s.cfg
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-told:
		}
		s.reloadRoutes()
		s.reloadShadow()
		next, err := cfg.Reload()
		if err != nil {
			s.logger.Error().Err(err).Msg("configuration not reloaded")
			continue
		}
		if later := s.cfg.changedKeys(next); len(later) > 0 {
			s.logger.Warn().Strs("keys", later).Msg("changes wait for a restart")
		}
		if next.Discovery != cfg.Discovery {
			s.changeDiscovery(next.Discovery)
		}
		cfg = next
		s.logger.Info().Stringer("discovery", cfg.Discovery).Msg("configuration reloaded")
	}
}

// rewatch reads the watched settings again; those of no use leave the old ones watched.
func (s *Server) reloadShadow() {
	if s.cfg.Shadow == nil {
		return
	}
	if next, err := readShadowSettings(s.cfg.getenv("PROXY_WATCH"), &s.cfg.Settings); err != nil {
		s.logger.Error().Err(err).Msg("watched settings not reloaded")
	} else {
		s.cfg.Shadow.SetSettings(next)
		s.logger.Info().Msg("watched settings reloaded")
	}
}

// reroute reads the operator's file again, against the settings that the node runs under. A file of no use leaves the
// routes as they are.
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

// differs names the keys whose new values a running node does not take up.
func (c Config) changedKeys(next Config) (keys []string) {
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == next.Name}, {"listen", c.Listen == next.Listen},
		{"limits", c.Limits == next.Limits && c.Cores == next.Cores}, {"settings", reflect.DeepEqual(c.Settings, next.Settings)},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

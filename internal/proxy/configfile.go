package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"net/netip"
	"os"
	"syscall"

	"fernvane/internal/config/settings"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
)

const (
	maxMemoryMB = 192  // upper bound of the memory limit, also the default
	maxSockets  = 1024 // upper bound of the descriptor limit, also the default if the operating system allows as many
)

// configFile is the JSON form of the platform's file.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    configLimits    `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// configLimits are the resource limits of the node in the platform's file.
type configLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"sockets"`
}

// readConfig reads the platform's file and the environment variables that override it, but no further files.
func readConfig(path string, getenv func(string) string) (Config, error) {
	c := Config{path: path, getenv: getenv, OperatorFile: getenv("PROXY_OPERATOR")}
	if path == "" {
		return c, errors.New("no configuration file named")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, err
	}
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	c.fileDiscovery = file.Discovery
	file.override(getenv)
	if err := c.decode(&file); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// override replaces values of the file by those of environment variables.
func (f *configFile) override(getenv func(string) string) {
	for name, field := range map[string]*string{"PROXY_NAME": &f.Name, "PROXY_LISTEN": &f.Listen, "PROXY_DISCOVERY": &f.Discovery} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
}

// decode sets the fields of c from a file. An invalid saved list is not an error: the node starts without it and logs SavedListErr.
func (c *Config) decode(f *configFile) (err error) {
	c.Name, c.Cores, c.Seed = f.Name, f.Limits.Cores, crc32.ChecksumIEEE([]byte(f.Seed))
	if c.Listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if c.Discovery, err = netip.ParseAddrPort(f.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	c.Limits = dispatch.Limits{MemoryMB: limitOrMax(f.Limits.MemoryMB, maxMemoryMB), Sockets: limitOrMax(f.Limits.Sockets, min(maxSockets, openFileLimit()))}
	if len(f.Settings) == 0 {
		return errors.New("no settings in the configuration")
	}
	if c.Settings, err = settings.Decode(f.Settings); err != nil {
		return err
	}
	if len(f.Known) > 0 {
		c.SavedList, c.SavedListErr = http1.ParseEndpointList(f.Known)
	}
	return nil
}

// ReadSettings reads the settings of a configuration file, or of a file that consists of settings only.
func ReadSettings(path string) (settings.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return settings.Settings{}, err
	}
	var file struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return settings.Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	if len(file.Settings) == 0 {
		file.Settings = text
	}
	s, err := settings.Decode(file.Settings)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// openFileLimit returns the operating system's limit of open descriptors, at most maxSockets. If the configured limit is higher, this one is
// used.
func openFileLimit() int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return maxSockets
	}
	return int(min(r.Cur, maxSockets))
}

// limitOrMax returns a configured limit, or maximum if none is configured or the configured one is higher.
func limitOrMax(limit float64, maximum int) int {
	if limit <= 0 || limit > float64(maximum) {
		return maximum
	}
	return int(limit)
}

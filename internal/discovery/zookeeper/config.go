package zookeeper

import (
	"net/netip"
	"os"
	"path"
	"strconv"
	"strings"
	"time"

	"fernvane/internal/config/tomlfile"
)

// Config is the operator's configuration file for the registry.
type Config struct {
	Servers        []string          `toml:"servers"` // addresses of the ensemble as host:port
	Chroot         string            `toml:"chroot"`
	Path           string            `toml:"path"` // parent node of the server entries
	SessionTimeout tomlfile.Duration `toml:"session"`
	AuthFile       string            `toml:"auth_file"` // file that contains Credentials
	Credentials    string            `toml:"-"`         // user:password for the digest scheme
}

// Load reads and validates the file. The error lists each invalid setting with file and line.
func Load(file string) (*Config, error) {
	text, err := tomlfile.Read(file)
	if err != nil {
		return nil, err
	}
	c := &Config{SessionTimeout: tomlfile.Duration(6 * time.Second)}
	f, err := tomlfile.Parse(file, text, c)
	if err != nil {
		return nil, err
	}
	if len(c.Servers) == 0 || len(c.Servers) > 16 {
		f.AddFault("servers", "%d registry servers configured: want 1 to 16", len(c.Servers))
	}
	for i, s := range c.Servers {
		if _, err := netip.ParseAddrPort(s); err != nil {
			f.AddFault("servers."+strconv.Itoa(i), "server %q is not an IP address with a port", s)
		}
	}
	for key, p := range map[string]string{"path": c.Path, "chroot": c.Chroot} {
		if p == "" && key == "chroot" {
			continue
		}
		if !strings.HasPrefix(p, "/") || path.Clean(p) != p {
			f.AddFault(key, "%s %q is not an absolute path in canonical form such as /services/hire", key, p)
		}
	}
	if c.SessionTimeout.Std() < 500*time.Millisecond || c.SessionTimeout.Std() > 40*time.Second {
		f.AddFault("session", "session %s is out of range: want 500ms to 40s", c.SessionTimeout.Std())
	}
	if c.AuthFile != "" {
		secret, err := os.ReadFile(c.AuthFile)
		if c.Credentials = strings.TrimSpace(string(secret)); err != nil || !strings.Contains(c.Credentials, ":") {
			f.AddFault("auth_file", "%s is unreadable or does not contain user:password", c.AuthFile)
		}
	}
	return c, f.Err()
}

// fullPath returns Path below Chroot.
func (c *Config) fullPath() string {
	if c.Chroot == "" || c.Chroot == "/" {
		return c.Path
	}
	return c.Chroot + c.Path
}

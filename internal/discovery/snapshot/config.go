package snapshot

import (
	"os"
	"time"

	"fernvane/internal/config/tomlfile"
)

// Config is the operator's configuration file for list snapshots.
type Config struct {
	Dir            string            `toml:"dir"`
	Deployment     string            `toml:"deployment"` // a list written for another deployment is not used
	WriteInterval  tomlfile.Duration `toml:"every"`      // minimum time between two generations
	MaxGenerations int               `toml:"keep"`
	MaxAge         tomlfile.Duration `toml:"oldest"` // a list whose last confirmation is older is not used
}

// Load reads and validates the file. The error lists each invalid setting with file and line.
func Load(path string) (*Config, error) {
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	c := &Config{
		WriteInterval:  tomlfile.Duration(2 * time.Second),
		MaxGenerations: 3,
		MaxAge:         tomlfile.Duration(7 * 24 * time.Hour),
	}
	f, err := tomlfile.Parse(path, text, c)
	if err != nil {
		return nil, err
	}
	if st, err := os.Stat(c.Dir); c.Dir == "" || err != nil || !st.IsDir() {
		f.AddFault("dir", "dir %q is not an existing directory", c.Dir)
	}
	if c.Deployment == "" {
		f.AddFault("deployment", "deployment is empty: the name prevents the use of a list that was written for another deployment")
	}
	if c.WriteInterval.Std() < 100*time.Millisecond || c.WriteInterval.Std() > time.Hour {
		f.AddFault("every", "every %s is out of range: want 100ms to 1h", c.WriteInterval.Std())
	}
	if c.MaxGenerations < 2 || c.MaxGenerations > 100 {
		f.AddFault("keep", "keep %d is out of range: want 2 to 100 generations, so that another remains if one is corrupt", c.MaxGenerations)
	}
	if c.MaxAge.Std() < time.Minute {
		f.AddFault("oldest", "oldest %s is too short: want at least 1m", c.MaxAge.Std())
	}
	return c, f.Err()
}

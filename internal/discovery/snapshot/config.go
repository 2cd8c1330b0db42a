package snapshot

import (
	"os"
	"time"

	"fernvane/internal/config/tomlfile"
)

// Config is the operator's file of the list snapshots.
type Config struct {
	Dir            string            `toml:"dir"`
	Deployment     string            `toml:"deployment"` // a list of another deployment is not used
	WriteInterval  tomlfile.Duration `toml:"every"`      // the least time between two generations
	MaxGenerations int               `toml:"keep"`
	MaxAge         tomlfile.Duration `toml:"oldest"` // a list that was confirmed longer ago is not used
}

// Load reads the file. The error names each fault by file and line.
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
		f.Wrong("dir", "dir %q is not an existing directory", c.Dir)
	}
	if c.Deployment == "" {
		f.Wrong("deployment", "deployment is not named: a list of another one must not be taken for this one's")
	}
	if c.WriteInterval.Std() < 100*time.Millisecond || c.WriteInterval.Std() > time.Hour {
		f.Wrong("every", "every %s: from 100ms to 1h", c.WriteInterval.Std())
	}
	if c.MaxGenerations < 2 || c.MaxGenerations > 100 {
		f.Wrong("keep", "keep %d: from 2 to 100 generations, so that one that is spoilt leaves another", c.MaxGenerations)
	}
	if c.MaxAge.Std() < time.Minute {
		f.Wrong("oldest", "oldest %s: a minute at least", c.MaxAge.Std())
	}
	return c, f.Err()
}

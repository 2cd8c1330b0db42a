package wal

import (
	"os"
	"time"

	"fernvane/internal/config/tomlfile"
)

// Durability levels of a stored intent (values of Config.Durability).
const (
	durabilityProcess = "process" // survives a crash of the process
	durabilityMachine = "machine" // survives a crash of the machine
	// DurabilityMachines makes an intent survive the loss of as many machines with their disks as there are replicas. It
	// requires other nodes as replica holders (package peer).
	DurabilityMachines = "machines"
)

// Policies for requests that the journal cannot store (values of Config.WhenFailing).
const (
	whenFailingReject = "deny"  // reject the request
	whenFailingServe  = "serve" // serve the request and count it in a Gap record
)

// Allowed ranges of the settings.
const (
	minWait         = time.Millisecond
	maxWait         = 10 * time.Second
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 1 << 30
)

// Config contains the journal's settings from a TOML file.
type Config struct {
	Dir            string            `toml:"dir"`
	Durability     string            `toml:"promise"`       // process, machine or machines
	WhenFailing    string            `toml:"when_failing"`  // deny or serve
	MaxWait        tomlfile.Duration `toml:"wait_most"`     // maximum wait for an intent to be durable
	IncludesKeyed  bool              `toml:"fingerprinted"` // also record requests with an idempotency key
	RepeatOfField  string            `toml:"repeats_field"` // header field with the ID of the request that this one repeats
	SegmentBytes   int64             `toml:"segment_bytes"` // size limit of a segment; a single larger batch exceeds it
	RetentionAge   tomlfile.Duration `toml:"keep_for"`      // older segments are removed; 0: no limit
	RetentionBytes int64             `toml:"keep_bytes"`    // total size of all segments; 0: no limit
}

// RejectsWhenFailing reports whether requests that the journal cannot store are rejected. Otherwise they are served and
// counted in a Gap record.
func (c *Config) RejectsWhenFailing() bool { return c.WhenFailing == whenFailingReject }

// LoadConfig reads and validates a configuration file. The error lists each invalid setting with file and line.
func LoadConfig(path string) (*Config, error) {
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	c := &Config{
		Durability:     durabilityProcess,
		MaxWait:        tomlfile.Duration(200 * time.Millisecond),
		SegmentBytes:   16 << 20,
		RetentionAge:   tomlfile.Duration(30 * 24 * time.Hour),
		RetentionBytes: 4 << 30,
	}
	f, err := tomlfile.Parse(path, text, c)
	if err != nil {
		return nil, err
	}
	if info, err := os.Stat(c.Dir); c.Dir == "" || err != nil || !info.IsDir() {
		f.AddFault("dir", "dir %q is not an existing directory", c.Dir)
	}
	if c.Durability != durabilityProcess && c.Durability != durabilityMachine && c.Durability != DurabilityMachines {
		f.AddFault("promise", "promise %q must be process, machine or machines", c.Durability)
	}
	if c.WhenFailing != whenFailingReject && c.WhenFailing != whenFailingServe {
		f.AddFault("when_failing", "when_failing %q must be deny (reject non-idempotent requests while the journal is not writable) or serve (serve them and record a gap)", c.WhenFailing)
	}
	if c.MaxWait.Std() < minWait || c.MaxWait.Std() > maxWait {
		f.AddFault("wait_most", "wait_most %s must be from 1ms to 10s", c.MaxWait.Std())
	}
	if c.SegmentBytes < minSegmentBytes || c.SegmentBytes > maxSegmentBytes {
		f.AddFault("segment_bytes", "segment_bytes %d must be from 4096 to 1073741824", c.SegmentBytes)
	}
	if c.RetentionBytes > 0 && c.RetentionBytes < 2*c.SegmentBytes {
		f.AddFault("keep_bytes", "keep_bytes %d is less than two segments of segment_bytes", c.RetentionBytes)
	}
	return c, f.Err()
}

package wal

import (
	"os"
	"time"

	"fernvane/internal/config/tomlfile"
)

// What a stored intent survives (Config.Promise).
const (
	promiseProcess = "process" // a crash of the process
	promiseMachine = "machine" // a crash of the machine
	// PromiseMachines is the loss of as many machines with their disks as there are replicas. It needs other nodes to
	// hold them (package peer).
	PromiseMachines = "machines"
)

// What becomes of requests that the journal cannot store (Config.WhenFailing).
const (
	whenFailingReject = "deny"
	whenFailingServe  = "serve"
)

// Bounds of the settings.
const (
	minWait         = time.Millisecond
	maxWait         = 10 * time.Second
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 1 << 30
)

// Config is an operator's file of the journal.
type Config struct {
	Dir            string            `toml:"dir"`
	Promise        string            `toml:"promise"`      // process, machine or machines
	WhenFailing    string            `toml:"when_failing"` // deny or serve
	MaxWait        tomlfile.Duration `toml:"wait_most"`    // for an intent to be durable
	IncludesKeyed  bool              `toml:"fingerprinted"`
	RepeatOfField  string            `toml:"repeats_field"` // the request's header field with the id that it repeats
	SegmentBytes   int64             `toml:"segment_bytes"`
	RetentionAge   tomlfile.Duration `toml:"keep_for"`
	RetentionBytes int64             `toml:"keep_bytes"`
}

// RejectsWhenFailing reports what becomes of requests that the journal cannot store: they are rejected, or else served
// and counted as a gap.
func (c *Config) RejectsWhenFailing() bool { return c.WhenFailing == whenFailingReject }

// LoadConfig reads the file. The error names each fault by file and line.
func LoadConfig(path string) (*Config, error) {
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	c := &Config{
		Promise:        promiseProcess,
		MaxWait:        tomlfile.Duration(200 * time.Millisecond),
		SegmentBytes:   16 << 20,
		RetentionAge:   tomlfile.Duration(30 * 24 * time.Hour),
		RetentionBytes: 4 << 30,
	}
	f, err := tomlfile.Parse(path, text, c)
	if err != nil {
		return nil, err
	}
	if st, err := os.Stat(c.Dir); c.Dir == "" || err != nil || !st.IsDir() {
		f.Wrong("dir", "dir %q is not an existing directory", c.Dir)
	}
	if c.Promise != promiseProcess && c.Promise != promiseMachine && c.Promise != PromiseMachines {
		f.Wrong("promise", "promise %q is none of process, machine and machines", c.Promise)
	}
	if c.WhenFailing != whenFailingReject && c.WhenFailing != whenFailingServe {
		f.Wrong("when_failing", "when_failing %q: deny rejects non-idempotent requests while the journal cannot be written, serve records a gap; one must be chosen", c.WhenFailing)
	}
	if c.MaxWait.Std() < minWait || c.MaxWait.Std() > maxWait {
		f.Wrong("wait_most", "wait_most %s: from 1ms to 10s", c.MaxWait.Std())
	}
	if c.SegmentBytes < minSegmentBytes || c.SegmentBytes > maxSegmentBytes {
		f.Wrong("segment_bytes", "segment_bytes %d: from 4096 to 1073741824", c.SegmentBytes)
	}
	if c.RetentionBytes > 0 && c.RetentionBytes < 2*c.SegmentBytes {
		f.Wrong("keep_bytes", "keep_bytes %d is less than two segments", c.RetentionBytes)
	}
	return c, f.Err()
}

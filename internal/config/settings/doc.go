// Package settings decodes the settings that an instance receives at startup, either in the first message of the simulator
// or in the configuration of a node. It is the only package that uses the platform's names of the settings (wire.go); all
// other packages use the terms of policy.Settings.
package settings

// Package settings decodes the settings that an instance gets at its start, from the simulator's first message and from a
// node's configuration alike. It is the only package that knows the platform's names for them (wire.go); everything else
// uses the terms of policy.Settings.
package settings

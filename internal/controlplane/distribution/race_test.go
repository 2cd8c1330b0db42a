//go:build race

package distribution

const raceEnabled = true

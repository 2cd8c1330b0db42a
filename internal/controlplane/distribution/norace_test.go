//go:build !race

package distribution

const raceEnabled = false

package proxy

import (
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
)

// scanEarlier reads the segments of earlier runs. It logs how many of their requests are open and were possibly sent, and the attempts of
// those by server.
func (j *intentJournal) scanEarlier(startedAt time.Time) {
	assembler := intent.NewAssembler()
	report, err := wal.Scan(j.filesystem, j.cfg.Dir, time.Time{}, func(r *intent.Record) error {
		if j.isClosed.Load() {
			return wal.ErrClosed
		}
		if r.Incarnation != j.incarnation {
			assembler.Add(r)
		}
		return nil
	}, nil)
	if err != nil {
		if !j.isClosed.Load() {
			j.logger.Error().Err(err).Msg("journal scan failed")
		}
		return
	}
	for _, f := range report.Unreadable {
		j.logger.Warn().Str("file", f.Path).Int64("offset", f.Offset).Int64("bytes", f.Bytes).Bool("torn", f.IsTorn).Msg("journal damaged")
	}
	assembler.HasDamage = report.CorruptCount() > 0
	openRequests, attempts := possiblySent(assembler)
	byServer := zerolog.Dict()
	for server, n := range attempts {
		byServer.Int(server, n)
	}
	j.logger.Info().Int("records", report.Records).Int("possibly_sent", openRequests).Dict("by_server", byServer).Dur("took", time.Since(startedAt)).Msg("journal read")
}

// possiblySent returns the number of open requests that were possibly sent, and by server the number of their attempts that possibly ran.
func possiblySent(assembler *intent.Assembler) (openRequests int, attempts map[string]int) {
	attempts = map[string]int{}
	for _, e := range assembler.Incomplete() {
		if e.State() != intent.PossiblySent {
			continue
		}
		openRequests++
		for _, a := range e.Attempts {
			if a.Proof() == intent.PossiblyRan {
				attempts[a.Server]++
			}
		}
	}
	return openRequests, attempts
}

package proxy

import (
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/rs/zerolog"

	"fernvane/internal/logging"
)

// Signals are the external requests to a node: a value on Reload makes it reload its configuration, and closing Stop shuts it down.
type Signals struct {
	Reload <-chan os.Signal
	Stop   <-chan struct{}
}

// CatchSignals handles the signals of the process from its first call on. Call it before the configuration is read: without a handler, a
// SIGHUP that requests a reload during the start would terminate the process.
var CatchSignals = sync.OnceValue(func() Signals {
	signal.Ignore(syscall.SIGPIPE)    // otherwise the node would terminate when the reader of its log exits
	reload := make(chan os.Signal, 1) // one pending reload is enough, because the files are read after it is received
	signal.Notify(reload, syscall.SIGHUP)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
	}()
	return Signals{Reload: reload, Stop: stop}
})

// RunProcess runs a node until SIGTERM or SIGINT stops it, and returns the exit code of the process. SIGHUP reloads the configuration. The
// log is written to errs.
func RunProcess(cfg Config, errs io.Writer, level zerolog.Level) int {
	log, flush := logging.New(errs, level)
	defer flush()
	if err := Run(CatchSignals(), cfg, log); err != nil {
		log.Error().Err(err).Msg("cannot serve")
		return 1
	}
	return 0
}

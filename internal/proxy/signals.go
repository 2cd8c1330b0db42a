package proxy

import (
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/rs/zerolog"
)

// Signals are what a node is told from outside: Reload has it read its configuration again, and the close of Stop has it stop.
type Signals struct {
	Reload <-chan os.Signal
	Stop   <-chan struct{}
}

// CatchSignals takes the process's signals from its first call on. It is called before the configuration is read: a process that does not
// handle SIGHUP would be ended by a reload that is asked for meanwhile.
var CatchSignals = sync.OnceValue(func() Signals {
	signal.Ignore(syscall.SIGPIPE)    // or the node would end with the reader of its log
	reload := make(chan os.Signal, 1) // one is enough: the file is read after it
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

// RunProcess runs a node for as long as this process lives: SIGTERM or SIGINT stops it, SIGHUP has it read its configuration again. It
// returns the process's exit code.
func RunProcess(cfg Config, errs io.Writer, level zerolog.Level) int {
	log, flush := NewLogger(errs, level)
	defer flush()
	if err := Run(CatchSignals(), cfg, log); err != nil {
		log.Error().Err(err).Msg("cannot serve")
		return 1
	}
	return 0
}

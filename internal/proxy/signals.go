package proxy

import (
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/rs/zerolog"
)

// CatchSignals takes the process's signals from now on. It comes before the configuration is read: a reload that is asked for
// meanwhile would end a process that does not hear it, and may be of a file that was just read.
var CatchSignals = sync.OnceValue(func() Signals {
	signal.Ignore(syscall.SIGPIPE)    // or the node would end with the reader of its log
	reload := make(chan os.Signal, 1) // one that waits is enough: the file is read after it
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

// RunProcess runs a node as the life of this process, which signals lead: SIGTERM or SIGINT ends it, SIGHUP has it read
// its configuration again. It returns the exit code.
func RunProcess(cfg Config, errs io.Writer, level zerolog.Level) int {
	log, flush := NewLogger(errs, level)
	defer flush()
	if err := Run(CatchSignals(), cfg, log); err != nil {
		log.Error().Err(err).Msg("cannot serve")
		return 1
	}
	return 0
}

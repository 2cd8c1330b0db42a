package zookeeper

import (
	"github.com/go-zookeeper/zk"
)

// maxReplyBytes limits what the ensemble may send at once.
const maxReplyBytes = 1 << 20

// Conn is the part of a ZooKeeper client that a Reader needs. A call with W sets a watch, whose one event the channel
// receives, and reads, in one step.
type Conn interface {
	ChildrenW(path string) ([]string, *zk.Stat, <-chan zk.Event, error)
	GetW(path string) ([]byte, *zk.Stat, <-chan zk.Event, error)
	Close()
}

// Dial returns a client of the configured ensemble. The client connects, and connects again, by itself.
func Dial(c *Config) (Conn, error) {
	conn, _, err := zk.Connect(c.Servers, c.SessionTimeout.Std(), zk.WithLogInfo(false), zk.WithLogger(discardLogger{}),
		zk.WithMaxBufferSize(maxReplyBytes))
	if err == nil && c.Credentials != "" {
		go conn.AddAuth("digest", []byte(c.Credentials)) // waits for the first connection; the client repeats it on others
	}
	return conn, err
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

package snapshot

// Snapshot is an endpoint list with what is known of its age. Times are Unix time in ms by the node's clock.
type Snapshot struct {
	_ struct{} `cbor:",toarray"`

	Node            string // the node that wrote it
	Deployment      string
	WrittenUnixMS   int64
	ConfirmedUnixMS int64  // when a source last announced endpoints, or that nothing has changed
	IsCleanShutdown bool   // written as the node stopped in good order
	Revision        uint64 // of the source, to continue from
	Servers         []Server
}

// Server is one server of a Snapshot.
type Server struct {
	_ struct{} `cbor:",toarray"`

	ID              string
	StartedUnixMS   int64 // 0 if it is not known
	Condition       uint8 // an incarnation.Condition
	Address         string
	Zone            string
	MachineKind     string
	Cell            int
	Weight          float64
	Source          uint8 // an endpoints.Source
	AnnouncedUnixMS int64
	ExecutedUnixMS  int64 // when it last answered this node's request that it had executed; 0 if it never did
}

package snapshot

// Snapshot is an endpoint list with the times that determine its age. Times are Unix times in ms by the node's clock.
type Snapshot struct {
	_ struct{} `cbor:",toarray"`

	Node            string // name of the node that wrote the snapshot
	Deployment      string
	WrittenUnixMS   int64
	ConfirmedUnixMS int64  // when a source last announced endpoints or confirmed them unchanged; the age of the list counts from then
	IsCleanShutdown bool   // written during a graceful shutdown
	Revision        uint64 // revision of the source, from which a watch continues
	Servers         []Server
}

// Server is one server of a Snapshot.
type Server struct {
	_ struct{} `cbor:",toarray"`

	ID              string
	StartedUnixMS   int64 // 0 if unknown
	Condition       uint8 // an incarnation.Condition
	Address         string
	Zone            string
	MachineKind     string
	Cell            int
	Weight          float64
	Source          uint8 // an endpoints.Source
	AnnouncedUnixMS int64
	ExecutedUnixMS  int64 // time of the last response to a request of this node that the server had executed; 0 if none
}

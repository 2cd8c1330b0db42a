package staleness

// Status is how far a server of a cached list is trusted.
type Status uint8

// The statuses of a server.
const (
	Untried   Status = iota // not used yet
	OnTrial                 // gets idempotent requests
	Proven                  // has executed a request since the start; gets any request
	Suspected               // could not be connected to; tried again later
	Excluded                // not used: draining or gone before the start, or another server is at its address
	statusCount
)

// input is what happens to a server.
type input uint8

const (
	trialOffered         input = iota // its turn has come
	requestExecuted                   // see Evaluator.RequestExecuted
	responseWithoutProof              // see Evaluator.ResponseWithoutProof
	connectFailed
	wrongServer // another server responds at its address
	timerExpired
	inputCount
)

type transition struct {
	next        Status
	trialChange int // +1: more trials are allowed at once; -1: one less
}

// transitions holds what each input does in each status.
var transitions = [statusCount][inputCount]transition{
	Untried: {
		trialOffered:         {OnTrial, 0},
		requestExecuted:      {Untried, 0},
		responseWithoutProof: {Untried, 0},
		connectFailed:        {Untried, 0},
		wrongServer:          {Excluded, 0},
		timerExpired:         {Untried, 0},
	},
	OnTrial: {
		trialOffered:         {OnTrial, 0},
		requestExecuted:      {Proven, 1},
		responseWithoutProof: {OnTrial, 0},
		connectFailed:        {Suspected, -1},
		wrongServer:          {Excluded, -1},
		timerExpired:         {OnTrial, 0},
	},
	Proven: {
		trialOffered:         {Proven, 0},
		requestExecuted:      {Proven, 0},
		responseWithoutProof: {Proven, 0},
		connectFailed:        {Suspected, 0},
		wrongServer:          {Excluded, -1},
		timerExpired:         {Proven, 0},
	},
	Suspected: {
		trialOffered:         {Suspected, 0},
		requestExecuted:      {Suspected, 0},
		responseWithoutProof: {Suspected, 0},
		connectFailed:        {Suspected, 0},
		wrongServer:          {Excluded, 0},
		timerExpired:         {Untried, 0},
	},
	Excluded: {
		trialOffered:         {Excluded, 0},
		requestExecuted:      {Excluded, 0},
		responseWithoutProof: {Excluded, 0},
		connectFailed:        {Excluded, 0},
		wrongServer:          {Excluded, 0},
		timerExpired:         {Excluded, 0},
	},
}

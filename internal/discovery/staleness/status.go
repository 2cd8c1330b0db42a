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

// trialChange is how a transition changes the number of trials that are allowed at once.
type trialChange uint8

const (
	keepTrials  trialChange = iota
	moreTrials              // by level.trialsPerProven
	fewerTrials             // by one, to minTrials at least
)

type transition struct {
	next        Status
	trialChange trialChange
}

// transitions holds what each input does in each status.
var transitions = [statusCount][inputCount]transition{
	Untried: {
		trialOffered:         {OnTrial, keepTrials},
		requestExecuted:      {Untried, keepTrials},
		responseWithoutProof: {Untried, keepTrials},
		connectFailed:        {Untried, keepTrials},
		wrongServer:          {Excluded, keepTrials},
		timerExpired:         {Untried, keepTrials},
	},
	OnTrial: {
		trialOffered:         {OnTrial, keepTrials},
		requestExecuted:      {Proven, moreTrials},
		responseWithoutProof: {OnTrial, keepTrials},
		connectFailed:        {Suspected, fewerTrials},
		wrongServer:          {Excluded, fewerTrials},
		timerExpired:         {OnTrial, keepTrials},
	},
	Proven: {
		trialOffered:         {Proven, keepTrials},
		requestExecuted:      {Proven, keepTrials},
		responseWithoutProof: {Proven, keepTrials},
		connectFailed:        {Suspected, keepTrials},
		wrongServer:          {Excluded, fewerTrials},
		timerExpired:         {Proven, keepTrials},
	},
	Suspected: {
		trialOffered:         {Suspected, keepTrials},
		requestExecuted:      {Suspected, keepTrials},
		responseWithoutProof: {Suspected, keepTrials},
		connectFailed:        {Suspected, keepTrials},
		wrongServer:          {Excluded, keepTrials},
		timerExpired:         {Untried, keepTrials},
	},
	Excluded: {
		trialOffered:         {Excluded, keepTrials},
		requestExecuted:      {Excluded, keepTrials},
		responseWithoutProof: {Excluded, keepTrials},
		connectFailed:        {Excluded, keepTrials},
		wrongServer:          {Excluded, keepTrials},
		timerExpired:         {Excluded, keepTrials},
	},
}

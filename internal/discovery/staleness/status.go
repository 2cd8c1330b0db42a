package staleness

// Status is the degree to which a server of a cached list is trusted.
type Status uint8

// The statuses of a server.
const (
	Untried   Status = iota // not used yet
	OnTrial                 // receives idempotent requests only
	Proven                  // has executed a request since the start; receives any request
	Suspected               // a connection failed; returns to Untried after a timeout
	Excluded                // not used: draining or gone before the start, or its address belongs to another server
	statusCount
)

// input is an event that affects a server.
type input uint8

const (
	trialStarted         input = iota // the number of concurrent trials permits another one
	requestExecuted                   // see Evaluator.RequestExecuted
	responseWithoutProof              // see Evaluator.ResponseWithoutProof
	connectFailed
	wrongServer // another server responds at its address
	timerExpired
	inputCount
)

// trialChange is the effect of a transition on the maximum number of concurrent trials.
type trialChange uint8

const (
	keepTrials     trialChange = iota
	increaseTrials             // increase by level.trialsPerProven
	decreaseTrials             // decrease by one, but not below minTrials
)

type transition struct {
	next        Status
	trialChange trialChange
}

// transitions maps each status and input to the next status and the trial change.
var transitions = [statusCount][inputCount]transition{
	Untried: {
		trialStarted:         {OnTrial, keepTrials},
		requestExecuted:      {Untried, keepTrials},
		responseWithoutProof: {Untried, keepTrials},
		connectFailed:        {Untried, keepTrials},
		wrongServer:          {Excluded, keepTrials},
		timerExpired:         {Untried, keepTrials},
	},
	OnTrial: {
		trialStarted:         {OnTrial, keepTrials},
		requestExecuted:      {Proven, increaseTrials},
		responseWithoutProof: {OnTrial, keepTrials},
		connectFailed:        {Suspected, decreaseTrials},
		wrongServer:          {Excluded, decreaseTrials},
		timerExpired:         {OnTrial, keepTrials},
	},
	Proven: {
		trialStarted:         {Proven, keepTrials},
		requestExecuted:      {Proven, keepTrials},
		responseWithoutProof: {Proven, keepTrials},
		connectFailed:        {Suspected, keepTrials},
		wrongServer:          {Excluded, decreaseTrials},
		timerExpired:         {Proven, keepTrials},
	},
	Suspected: {
		trialStarted:         {Suspected, keepTrials},
		requestExecuted:      {Suspected, keepTrials},
		responseWithoutProof: {Suspected, keepTrials},
		connectFailed:        {Suspected, keepTrials},
		wrongServer:          {Excluded, keepTrials},
		timerExpired:         {Untried, keepTrials},
	},
	Excluded: {
		trialStarted:         {Excluded, keepTrials},
		requestExecuted:      {Excluded, keepTrials},
		responseWithoutProof: {Excluded, keepTrials},
		connectFailed:        {Excluded, keepTrials},
		wrongServer:          {Excluded, keepTrials},
		timerExpired:         {Excluded, keepTrials},
	},
}

package loglines

// Messages of the lines that tell a request's way.
const (
	Answered      = "A request is answered"
	AttemptFailed = "A try gave no answer"
	Refused       = "A request is refused"
	StreamBroken  = "A stream is broken off"
)

// Messages of the lines that tell whether a daemon can read the desired state.
const (
	KVUnavailable = "The key-value service does not answer"
	KVRecovered   = "The key-value service answers again"
)

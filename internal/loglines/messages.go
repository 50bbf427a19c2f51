package loglines

// Messages of the lines that tell a request's way.
const (
	Answered  = "A request is answered"
	TryFailed = "A try gave no answer"
	Refused   = "A request is refused"
	BrokenOff = "A stream is broken off"
)

// Messages of the lines that tell whether a daemon can read the desired state.
const (
	KVLost     = "The key-value service does not answer"
	KVRegained = "The key-value service answers again"
)

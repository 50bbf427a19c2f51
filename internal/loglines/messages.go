package loglines

// Messages of the lines that a daemon logs for a request.
const (
	Answered      = "A request is answered"
	AttemptFailed = "A try gave no answer"
	Refused       = "A request is refused"
	StreamBroken  = "A stream is broken off"
)

// Waiting is the message of the line in which a daemon tells which requests wait for room at replicas.
const Waiting = "Requests wait for room"

// Messages of the lines that a daemon logs when it loses or regains access to the desired state.
const (
	KVUnavailable = "The key-value service does not answer"
	KVRecovered   = "The key-value service answers again"
)

package event

import "time"

// Messages of the lines about what backend servers say of themselves.
const (
	// ServerLeaving is the message for a backend server that says that it is leaving.
	ServerLeaving = "the server says that it is leaving"
	// ServerWaits is the message for a backend server that wants no requests for a while.
	ServerWaits = "the server wants no requests for a while"
	// ServerWaitMalformed is the message for a backend server that sends a malformed Retry-After header.
	ServerWaitMalformed = "the server states a Retry-After that is not understood; it is ignored"
)

// ServerNotice describes what a backend server said of itself in a response.
type ServerNotice struct {
	// Server is the ID of the backend server.
	Server string
	// Address is its host and port.
	Address string
	// Born is the start time of the incarnation in Unix milliseconds, zero if it is not reported.
	Born int64
	// Wait is the time for which the server gets no requests, zero for none.
	Wait time.Duration
	// Stated is the Retry-After header as it was received, empty for none.
	Stated string
}

// Fields returns the fields of the line.
func (n ServerNotice) Fields() Fields {
	fields := Fields{fieldServer: n.Server, fieldAddress: n.Address, "born": n.Born}
	if n.Wait > 0 {
		fields[fieldWaitTime] = n.Wait.Milliseconds()
	}
	if n.Stated != "" {
		fields["stated"] = n.Stated
	}
	return fields
}

// Excluded describes the backend servers that a choice of a server excluded because of what they said of themselves.
type Excluded struct {
	// Leaving is the number of servers that are leaving.
	Leaving int
	// Waiting is the number of servers that want no requests for a while.
	Waiting int
	// Wait is the time until a server wants requests again, if none does now.
	Wait time.Duration
}

// Fields returns the additional fields of the line of a choice; there are none if no server was excluded.
func (e Excluded) Fields() Fields {
	fields := Fields{}
	if e.Leaving > 0 {
		fields["servers_leaving"] = e.Leaving
	}
	if e.Waiting > 0 {
		fields["servers_waiting"] = e.Waiting
	}
	if e.Wait > 0 {
		fields[fieldWaitTime] = e.Wait.Milliseconds()
	}
	return fields
}

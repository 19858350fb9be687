package upstream

import "time"

// What an attempt tells its server of the time that is left is what the client has left at the moment of the write, less what
// passes until the server has the last byte. A server that is told more works on for a client who has gone.
const (
	// wayAllowance is for the way there; half of the time where less than twice as much is left.
	wayAllowance = 25 * time.Millisecond
	// transferAllowance is for a value that a connection may not take at once; a quarter of the time at the most.
	transferAllowance = 300 * time.Millisecond
	// uploadAllowance is for a value that the server takes more slowly than the client writes it; a quarter likewise.
	uploadAllowance = 500 * time.Millisecond
	// lastByteAllowance is how much more a server may have been told when the last byte of an upload goes out.
	lastByteAllowance = 50 * time.Millisecond
)

// announced is the time that the attempt tells its server; under a millisecond it is not to be sent. It reads the clock, so
// that it belongs right before the write.
func (s *Attempt) announced() time.Duration {
	if s.Upload != nil { // the server begins with the last byte, and so does the client's time
		return s.Upload.Wait - min(uploadAllowance, s.Upload.Wait/4)
	}
	left := s.Deadline.Remaining()
	return left - min(wayAllowance, left/2) - s.transfer()
}

// transfer is how long the write may take.
func (s *Attempt) transfer() time.Duration {
	if len(s.Value) <= fits {
		return 0
	}
	return min(transferAllowance, s.Deadline.Remaining()/4)
}

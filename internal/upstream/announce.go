package upstream

import "time"

// An attempt announces to its host the time that the client has left at the moment of the write, less the time until the host has
// received the last byte. A host given more time keeps working after the client has given up.
const (
	// networkAllowance is for the transit to the host; at most half of the remaining time.
	networkAllowance = 25 * time.Millisecond
	// transferAllowance is for a value too large to be written without blocking; at most a quarter of the remaining time.
	transferAllowance = 300 * time.Millisecond
	// uploadAllowance is for a host that reads a value more slowly than the client sends it; at most a quarter of the client's wait.
	uploadAllowance = 500 * time.Millisecond
	// lastByteAllowance is by how much the time announced may exceed the client's remaining time at the last byte of an upload.
	lastByteAllowance = 50 * time.Millisecond
)

// announcedTime returns the remaining time to announce to the host; below a millisecond the attempt must not be sent. It reads the
// clock and so must be called right before the write.
func (a *Attempt) announcedTime() time.Duration {
	if a.Upload != nil { // the host's work and the client's wait both begin with the last byte
		left := a.Upload.TimeLeft()
		return left - min(uploadAllowance, left/4)
	}
	remaining := a.Deadline.Remaining()
	return remaining - min(networkAllowance, remaining/2) - a.transferTime()
}

// transferTime returns how long the write may take.
func (a *Attempt) transferTime() time.Duration {
	if len(a.Value) <= maxUnblockedWrite {
		return 0
	}
	return min(transferAllowance, a.Deadline.Remaining()/4)
}

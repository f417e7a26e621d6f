package soak

import (
	"fmt"
	"time"
)

// judgeUsage checks that no process had more open sockets or more resident memory than the configuration of
// the senders allows. Times in the reports are since start. The caller holds the lock.
func (r *Records) judgeUsage(out *Verdict, start time.Time) {
	for _, u := range r.usages {
		out.MostSockets = max(out.MostSockets, u.sockets.value)
		out.MostMemory = max(out.MostMemory, u.memory.value)
		report := func(rule string, at time.Time) {
			history := fmt.Sprintf("sender %d, process %d, at %.3f", u.sender, u.pid, at.Sub(start).Seconds())
			out.Violations = append(out.Violations, Violation{Rule: rule, History: history})
		}
		if u.sockets.value > senderLimits.Sockets {
			report(fmt.Sprintf("%d open sockets, with a limit of %d",
				u.sockets.value, senderLimits.Sockets), u.sockets.at)
		}
		if u.memory.value > senderLimits.MemoryMB*bytesPerMB {
			report(fmt.Sprintf("%d bytes of resident memory, with a limit of %d MB",
				u.memory.value, senderLimits.MemoryMB), u.memory.at)
		}
	}
}

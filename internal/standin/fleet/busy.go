package fleet

import (
	"os"
	"runtime"
	"strconv"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// StartBusyNeighbor binds the process to one processor, by its number, and runs a busy loop of this
// program on the same processor until [Sender.StopBusyNeighbor]. It does nothing if the process is
// not running.
func (s *Sender) StartBusyNeighbor() error {
	pid := s.PID()
	if pid == 0 {
		return nil
	}
	var allowed, single unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		return err
	}
	cpu, seen := 0, 0
	for c := range len(allowed) * 64 {
		if allowed.IsSet(c) {
			if cpu = c; seen >= s.Number%allowed.Count() {
				break
			}
			seen++
		}
	}
	single.Set(cpu)
	if err := pin(pid, &single); err != nil {
		return err
	}
	var stopped atomic.Bool
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		unix.SchedSetaffinity(0, &single)
		for !stopped.Load() {
		}
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Timeline.add(Entry{Action: AddBusyNeighbor, Senders: []int{s.Number}})
	s.stopBusy = func() {
		stopped.Store(true)
		pin(pid, &allowed)
	}
	return nil
}

// StopBusyNeighbor stops the busy loop and lets the process use all processors again. It does
// nothing if there is no busy loop.
func (s *Sender) StopBusyNeighbor() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopBusy != nil {
		s.stopBusy()
		s.stopBusy = nil
		s.fleet.Timeline.add(Entry{Action: RemoveBusyNeighbor, Senders: []int{s.Number}})
	}
}

// pin sets the processors that each present thread of a process may use. It returns an error if the
// process has exited.
func pin(pid int, set *unix.CPUSet) error {
	list, err := os.ReadDir("/proc/" + strconv.Itoa(pid) + "/task")
	if err != nil {
		return err
	}
	for _, e := range list {
		if tid, err := strconv.Atoi(e.Name()); err == nil {
			unix.SchedSetaffinity(tid, set) // a thread may have ended
		}
	}
	return nil
}

package world

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// restartDelay is the time after which the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// Memory returns the anonymous memory of a process in kB. It leaves out the pages of the program's
// file and what the kernel holds for its sockets, which the platform counts, too.
func Memory(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(f[1])
			return kb
		}
	}
	return 0
}

// Limit watches the memory of a gateway as the platform does: a process that exceeds the limit is
// killed and started again.
type Limit struct {
	// PeakKB is the highest value seen and Kills the number of kills.
	PeakKB, Kills atomic.Int64
}

// LimitMemory starts to watch a gateway.
func (w *World) LimitMemory(g *Gateway) *Limit {
	l := &Limit{}
	go func() {
		for {
			time.Sleep(2 * time.Millisecond)
			kb := int64(Memory(g.Pid()))
			l.PeakKB.Store(max(l.PeakKB.Load(), kb))
			if kb <= MemoryMB*1024 {
				continue
			}
			w.Log("%s uses %d kB, more than %d MB: the platform kills it", g.Name, kb, MemoryMB)
			g.Signal(syscall.SIGKILL)
			<-g.Ended()
			l.Kills.Add(1)
			time.Sleep(restartDelay)
			g.Start()
		}
	}()
	return l
}

// Package bodiestest measures the memory that code under test takes.
package bodiestest

import (
	"runtime"
	"time"
)

// sampleInterval is the time between two measurements of the heap.
const sampleInterval = 2 * time.Millisecond

// PeakHeap runs f and returns by how many bytes the heap grew at most, with what is not collected yet.
func PeakHeap(f func()) uint64 {
	idle, most := Heap(), uint64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		select {
		case <-done:
			return max(most, idle) - idle
		case <-time.After(sampleInterval):
			most = max(most, heapAlloc())
		}
	}
}

// Heap collects garbage, also what pools hold, and returns the bytes on the heap.
func Heap() uint64 {
	runtime.GC()
	runtime.GC()
	return heapAlloc()
}

func heapAlloc() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

package schedule

// replicaHeap is a min-heap of replicas ordered by load, then by name.
type replicaHeap []*replica

func (h replicaHeap) Len() int { return len(h) }
func (h replicaHeap) Less(i, j int) bool {
	if h[i].load != h[j].load {
		return h[i].load < h[j].load
	}
	return h[i].Name < h[j].Name
}
func (h replicaHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *replicaHeap) Push(x any) {
	r := x.(*replica)
	r.index = len(*h)
	*h = append(*h, r)
}
func (h *replicaHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	r.index = -1
	return r
}

package fairshare

// latestStartHeap is a heap of items, with the earliest latest start first. It
// implements heap.Interface.
type latestStartHeap[K comparable] []*item[K]

func (h latestStartHeap[K]) Len() int           { return len(h) }
func (h latestStartHeap[K]) Less(i, j int) bool { return h[i].LatestStart.Before(h[j].LatestStart) }

func (h latestStartHeap[K]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *latestStartHeap[K]) Push(x any) {
	it := x.(*item[K])
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface: it removes and returns the last element of the slice.
func (h *latestStartHeap[K]) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	it.index = -1
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}

package fairshare

// latestHeap orders items by their latest start.
type latestHeap[K comparable] []*item[K]

func (h latestHeap[K]) Len() int           { return len(h) }
func (h latestHeap[K]) Less(i, j int) bool { return h[i].Latest.Before(h[j].Latest) }

func (h latestHeap[K]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds an item; it is called by container/heap.
func (h *latestHeap[K]) Push(x any) {
	it := x.(*item[K])
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop takes the last item; it is called by container/heap.
func (h *latestHeap[K]) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	it.index = -1
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}

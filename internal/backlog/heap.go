package backlog

// push adds x to a binary heap, whose first element is the least by less.
func push[T any](h []T, x T, less func(a, b T) bool) []T {
	h = append(h, x)
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !less(h[i], h[parent]) {
			break
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
	return h
}

// pop removes the least element of a heap that is not empty.
func pop[T any](h []T, less func(a, b T) bool) (top T, rest []T) {
	top = h[0]
	last := len(h) - 1
	h[0] = h[last]
	h = h[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child+1 < last && less(h[child+1], h[child]) {
			child++
		}
		if child >= last || !less(h[child], h[i]) {
			return top, h
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
}

// earlier reports whether a has the earlier deadline.
func earlier(a, b Item) bool { return a.Deadline < b.Deadline }

package logic

import (
	"slices"
	"sort"
)

// item is an element of a sortedList: a message and the time by which it is sorted. Items with equal keys are
// ordered by arrival.
type item struct {
	key Micros
	msg *message
}

// before reports whether a is ordered before b.
func (a item) before(b item) bool { return a.key < b.key || a.key == b.key && a.msg.seq < b.msg.seq }

// maxChunk bounds the number of items that an insertion moves.
const maxChunk = 512

// sortedList is a list of items in order. Insertion and removal take time logarithmic in its length and at
// most maxChunk moves. At both ends they cost little more than in a plain slice.
type sortedList struct {
	chunks [][]item // none is empty
	size   int      // number of items
}

// position is a position in a sortedList. It is valid until the list changes.
type position struct{ chunk, index int } // index is within the chunk

// find returns the position of the first item for which past is true, or of the end of the list. If past is
// true for an item, it must be true for all that follow.
func (l *sortedList) find(past func(item) bool) position {
	c := sort.Search(len(l.chunks), func(c int) bool { return past(l.chunks[c][len(l.chunks[c])-1]) })
	if c == len(l.chunks) {
		return position{c, 0}
	}
	return position{c, sort.Search(len(l.chunks[c]), func(i int) bool { return past(l.chunks[c][i]) })}
}

// seek returns the position of the first item whose key is at least at, or of the end of the list.
func (l *sortedList) seek(at Micros) position {
	return l.find(func(x item) bool { return x.key >= at })
}

// get returns the item at p, or false at the end of the list.
func (l *sortedList) get(p position) (item, bool) {
	if p.chunk >= len(l.chunks) {
		return item{}, false
	}
	return l.chunks[p.chunk][p.index], true
}

// next returns the position after p.
func (l *sortedList) next(p position) position {
	if p.index++; p.index == len(l.chunks[p.chunk]) {
		return position{p.chunk + 1, 0}
	}
	return p
}

// previous returns the item before p, or false at the start of the list.
func (l *sortedList) previous(p position) (item, bool) {
	switch {
	case p.index > 0:
		return l.chunks[p.chunk][p.index-1], true
	case p.chunk > 0:
		c := l.chunks[p.chunk-1]
		return c[len(c)-1], true
	}
	return item{}, false
}

// first returns the first item, or false if the list is empty.
func (l *sortedList) first() (item, bool) { return l.get(position{}) }

// index returns the number of items before p.
func (l *sortedList) index(p position) int {
	n := p.index
	for _, c := range l.chunks[:p.chunk] {
		n += len(c)
	}
	return n
}

// insert adds x.
func (l *sortedList) insert(x item) {
	l.size++
	p := l.find(func(y item) bool { return x.before(y) })
	if p.chunk == len(l.chunks) {
		if p.chunk == 0 || len(l.chunks[p.chunk-1]) >= maxChunk { // appended items fill chunks completely
			l.chunks = append(l.chunks, []item{x})
			return
		}
		p.chunk--
		p.index = len(l.chunks[p.chunk])
	}
	c := slices.Insert(l.chunks[p.chunk], p.index, x)
	l.chunks[p.chunk] = c
	if len(c) > maxChunk {
		half := len(c) / 2
		l.chunks = slices.Insert(l.chunks, p.chunk+1, slices.Clone(c[half:]))
		clear(c[half:])
		l.chunks[p.chunk] = c[:half]
	}
}

// remove removes x, which must be in the list.
func (l *sortedList) remove(x item) {
	l.size--
	p := l.find(func(y item) bool { return !y.before(x) })
	c := l.chunks[p.chunk]
	if p.index == 0 && len(c) > 1 { // the common case
		c[0] = item{}
		l.chunks[p.chunk] = c[1:]
		return
	}
	if c = slices.Delete(c, p.index, p.index+1); len(c) > 0 {
		l.chunks[p.chunk] = c
		return
	}
	l.chunks = slices.Delete(l.chunks, p.chunk, p.chunk+1)
}

// timer is a time at which a message, a destination or a group must be looked at. Exactly one of msg, dest
// and group is set.
type timer struct {
	at        Micros // time at which it fires; outdated if it is not set
	heapIndex int    // index in the heap plus 1; 0 if the timer is not set
	msg       *message
	dest      *destination
	group     *group
}

// timerHeap is a min-heap of the timers that are set.
type timerHeap []*timer

// set makes timer a fire at a time, in place of an earlier one, or stops it if that is never.
func (h *timerHeap) set(a *timer, at Micros) {
	switch {
	case at == never && a.heapIndex == 0 || a.heapIndex > 0 && a.at == at:
	case at == never:
		i, last := a.heapIndex-1, len(*h)-1
		h.swap(i, last)
		(*h)[last] = nil
		*h = (*h)[:last]
		a.heapIndex = 0
		if i < last {
			h.fix(i)
		}
	case a.heapIndex == 0:
		a.at = at
		*h = append(*h, a)
		a.heapIndex = len(*h)
		h.fix(a.heapIndex - 1)
	default:
		a.at = at
		h.fix(a.heapIndex - 1)
	}
}

// nextAt is the time at which the first timer is due, or never if none is set.
func (h timerHeap) nextAt() Micros {
	if len(h) == 0 {
		return never
	}
	return h[0].at
}

// popDue removes and returns the first timer if it is due, otherwise nil.
func (h *timerHeap) popDue(now Micros) *timer {
	if h.nextAt() > now || len(*h) == 0 {
		return nil
	}
	a := (*h)[0]
	h.set(a, never)
	return a
}

// swap exchanges two timers of the heap and keeps their heapIndex.
func (h timerHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i+1, j+1
}

// fix restores the order of the heap after the time of the timer at index i has changed.
func (h timerHeap) fix(i int) {
	for i > 0 && h[i].at < h[(i-1)/2].at {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		least := i
		for j := 2*i + 1; j <= 2*i+2 && j < len(h); j++ {
			if h[j].at < h[least].at {
				least = j
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

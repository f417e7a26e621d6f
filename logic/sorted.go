package logic

import (
	"slices"
	"sort"
)

// item is a message in a sorted list: by a key, then in order of arrival.
type item struct {
	at Micros
	m  *msg
}

func (a item) before(b item) bool { return a.at < b.at || a.at == b.at && a.m.seq < b.m.seq }

// chunkMost bounds the items that move at an insertion.
const chunkMost = 512

// sorted is a list of items in order. Insertion and removal cost the logarithm of its length and at most
// chunkMost moves; at both ends they cost little more than a plain list.
type sorted struct {
	chunks [][]item // none is empty
	n      int
}

// place is a position in a sorted list. It stands until the list changes.
type place struct{ chunk, i int }

// find is the place of the first item of which past is true; past must hold for all that follow.
func (l *sorted) find(past func(item) bool) place {
	c := sort.Search(len(l.chunks), func(c int) bool { return past(l.chunks[c][len(l.chunks[c])-1]) })
	if c == len(l.chunks) {
		return place{c, 0}
	}
	return place{c, sort.Search(len(l.chunks[c]), func(i int) bool { return past(l.chunks[c][i]) })}
}

// seek is the place of the first item whose key is not under at.
func (l *sorted) seek(at Micros) place { return l.find(func(x item) bool { return x.at >= at }) }

// get is the item at p; false at the end.
func (l *sorted) get(p place) (item, bool) {
	if p.chunk >= len(l.chunks) {
		return item{}, false
	}
	return l.chunks[p.chunk][p.i], true
}

func (l *sorted) next(p place) place {
	if p.i++; p.i == len(l.chunks[p.chunk]) {
		return place{p.chunk + 1, 0}
	}
	return p
}

// before is the item in front of p; false at the start.
func (l *sorted) before(p place) (item, bool) {
	switch {
	case p.i > 0:
		return l.chunks[p.chunk][p.i-1], true
	case p.chunk > 0:
		c := l.chunks[p.chunk-1]
		return c[len(c)-1], true
	}
	return item{}, false
}

func (l *sorted) first() (item, bool) { return l.get(place{}) }

// index is the number of items in front of p.
func (l *sorted) index(p place) int {
	n := p.i
	for _, c := range l.chunks[:p.chunk] {
		n += len(c)
	}
	return n
}

func (l *sorted) insert(x item) {
	l.n++
	p := l.find(func(y item) bool { return x.before(y) })
	if p.chunk == len(l.chunks) {
		if p.chunk == 0 || len(l.chunks[p.chunk-1]) >= chunkMost { // what comes at the end fills chunks whole
			l.chunks = append(l.chunks, []item{x})
			return
		}
		p.chunk--
		p.i = len(l.chunks[p.chunk])
	}
	c := slices.Insert(l.chunks[p.chunk], p.i, x)
	l.chunks[p.chunk] = c
	if len(c) > chunkMost {
		half := len(c) / 2
		l.chunks = slices.Insert(l.chunks, p.chunk+1, slices.Clone(c[half:]))
		clear(c[half:])
		l.chunks[p.chunk] = c[:half]
	}
}

// remove takes x off the list, in which it must be.
func (l *sorted) remove(x item) {
	l.n--
	p := l.find(func(y item) bool { return !y.before(x) })
	c := l.chunks[p.chunk]
	if p.i == 0 && len(c) > 1 { // the usual one
		c[0] = item{}
		l.chunks[p.chunk] = c[1:]
		return
	}
	if c = slices.Delete(c, p.i, p.i+1); len(c) > 0 {
		l.chunks[p.chunk] = c
		return
	}
	l.chunks = slices.Delete(l.chunks, p.chunk, p.chunk+1)
}

// alarm is a time at which something of a message, a destination or a group is due.
type alarm struct {
	at Micros
	i  int // place in the heap, from 1; 0 if it is not set
	m  *msg
	d  *dest
	g  *group
}

// alarms is a heap of those that are set.
type alarms []*alarm

// set puts a to a time, or takes it off if that is never.
func (h *alarms) set(a *alarm, at Micros) {
	switch {
	case at == never && a.i == 0 || a.i > 0 && a.at == at:
	case at == never:
		i, last := a.i-1, len(*h)-1
		h.swap(i, last)
		(*h)[last] = nil
		*h = (*h)[:last]
		a.i = 0
		if i < last {
			h.fix(i)
		}
	case a.i == 0:
		a.at = at
		*h = append(*h, a)
		a.i = len(*h)
		h.fix(a.i - 1)
	default:
		a.at = at
		h.fix(a.i - 1)
	}
}

// next is when the first is due; never if none is set.
func (h alarms) next() Micros {
	if len(h) == 0 {
		return never
	}
	return h[0].at
}

// due takes the first off, if it is due; nil if not.
func (h *alarms) due(now Micros) *alarm {
	if h.next() > now || len(*h) == 0 {
		return nil
	}
	a := (*h)[0]
	h.set(a, never)
	return a
}

func (h alarms) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].i, h[j].i = i+1, j+1
}

func (h alarms) fix(i int) {
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

package logic

import "math"

// The discounted histogram of latencies and its restart time τ.

var edges = func() (e [binCount]Micros) {
	x := float64(binBase)
	for i := range e {
		e[i] = Micros(x)
		x *= binRatio
	}
	return e
}()

func (h *hist) add(now, took Micros, cut bool) {
	f := math.Exp2(-float64(now-h.at) / float64(halfLife))
	h.at = now
	for i := range h.w {
		h.w[i] *= f
	}
	h.total, h.cuts = h.total*f, h.cuts*f
	if cut {
		h.cuts++
	} else {
		h.w[bin(took)]++
		h.total++
	}
	h.update()
}

// update finds τ, the edge with the least mean time to an answer under unlimited restarts, and percentiles.
func (h *hist) update() {
	h.tau, h.median, h.p95 = 0, 0, 0
	all := h.total + max(h.cuts, 0)
	var m0, m1 float64
	best, bestAt, wait := math.Inf(1), Micros(0), math.Inf(1)
	for i, edge := range edges {
		low := Micros(0)
		if i > 0 {
			low = edges[i-1]
		}
		m0 += h.w[i]
		m1 += h.w[i] * float64(low+edge) / 2
		if h.median == 0 && m0 >= h.total/2 {
			h.median = edge
		}
		if h.p95 == 0 && m0 >= 0.95*h.total {
			h.p95 = edge
		}
		if m0 == 0 {
			continue
		}
		p := m0 / all
		wait = (m1/all + float64(edge)*(1-p)) / p
		if wait < best {
			best, bestAt = wait, edge
		}
	}
	if h.total >= tauWeight && best < tauGain*wait {
		h.tau = bestAt
	}
}

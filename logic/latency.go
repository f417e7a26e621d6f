package logic

import "math"

// The discounted histogram of latencies, and the restart time τ computed from it.

// binEdges are the upper edges, inclusive, of all bins but the last, which has none.
var binEdges = func() (e [binCount]Micros) {
	x := float64(firstBinEdge)
	for i := range e {
		e[i] = Micros(x)
		x *= binRatio
	}
	return e
}()

// add adds a latency after discounting the earlier ones. The latency of a censored sample is only a lower
// bound, as the call was cancelled or is still in flight.
func (h *histogram) add(now, latency Micros, censored bool) {
	f := math.Exp2(-float64(now-h.updatedAt) / float64(latencyHalfLife))
	h.updatedAt = now
	for i := range h.weights {
		h.weights[i] *= f
	}
	h.total, h.censored = h.total*f, h.censored*f
	if censored {
		h.censored++
	} else {
		h.weights[binIndex(latency)]++
		h.total++
	}
	h.update()
}

// update computes τ, which is the bin edge with the least mean time to an answer under unlimited restarts,
// and the percentiles.
func (h *histogram) update() {
	h.restartTime, h.median, h.p95 = 0, 0, 0
	all := h.total + max(h.censored, 0)
	var m0, m1 float64 // count and sum of the latencies up to the edge
	best, bestAt, wait := math.Inf(1), Micros(0), math.Inf(1)
	for i, edge := range binEdges {
		low := Micros(0)
		if i > 0 {
			low = binEdges[i-1]
		}
		m0 += h.weights[i]
		m1 += h.weights[i] * float64(low+edge) / 2
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
	if h.total >= minRestartSamples && best < maxRestartRatio*wait {
		h.restartTime = bestAt
	}
}

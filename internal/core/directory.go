package core

import (
	"slices"
	"time"

	"cometrack/logic"
)

const (
	keepGone    = time.Minute      // an endpoint off the list is remembered so long: it may come back
	keepPartner = 10 * time.Minute // a partner without endpoints or messages keeps its number so long
)

// directory maps the names of endpoints and partners to the module's numbers. The
// loop owns it.
type directory struct {
	zones    []string
	kinds    []logic.Kind
	ids      map[string]logic.EndpointID
	eps      map[logic.EndpointID]target
	partners map[string]*partner
	last     logic.EndpointID
	lastDest int64
}

// target is where an endpoint can be reached.
type target struct {
	name    string // on the list
	addr    string
	zone    int
	partner string
	kind    int
	state   logic.Readiness
	weight  float64
	gone    time.Time // when it was taken off the list; zero while it is on it
}

// partner is a destination of the module.
type partner struct {
	dest int64
	eps  int       // endpoints, those that were taken off the list a short while ago too
	used time.Time // when it last had an endpoint or a message
}

func newDirectory(zones []string, kinds []logic.Kind) *directory {
	return &directory{zones: zones, kinds: kinds, ids: map[string]logic.EndpointID{},
		eps: map[logic.EndpointID]target{}, partners: map[string]*partner{}}
}

// partner returns the entry of a partner, and makes one if there is none.
func (d *directory) partner(name string) *partner {
	p := d.partners[name]
	if p == nil {
		d.lastDest++
		p = &partner{dest: d.lastDest, used: time.Now()}
		d.partners[name] = p
	}
	return p
}

// serves says whether a partner has an endpoint, or had one a short while ago.
func (d *directory) serves(name string) bool {
	p := d.partners[name]
	return p != nil && p.eps > 0
}

// zone is the name of a zone; empty for one that is not known.
func (d *directory) zone(i int) string {
	if i < 0 || i >= len(d.zones) {
		return ""
	}
	return d.zones[i]
}

// kindName is the name of a kind; empty for one that is not known.
func (d *directory) kindName(i int) string {
	if i < 0 || i >= len(d.kinds) {
		return ""
	}
	return d.kinds[i].Name
}

// spare says that forget needs to know what is in use: an endpoint has long been off
// the list, or a partner has none.
func (d *directory) spare(now time.Time) bool {
	for _, to := range d.eps {
		if !to.gone.IsZero() && now.Sub(to.gone) > keepGone {
			return true
		}
	}
	for _, p := range d.partners {
		if p.eps == 0 {
			return true
		}
	}
	return false
}

// forget drops endpoints that have long been off the list and partners that have
// long had nothing, but for those in use.
func (d *directory) forget(now time.Time, calls map[logic.EndpointID]bool, messages map[string]bool) {
	for id, to := range d.eps {
		if !to.gone.IsZero() && now.Sub(to.gone) > keepGone && !calls[id] {
			d.drop(id)
		}
	}
	for name, p := range d.partners {
		switch {
		case p.eps > 0 || messages[name]:
			p.used = now
		case now.Sub(p.used) > keepPartner:
			delete(d.partners, name)
		}
	}
}

func (d *directory) drop(id logic.EndpointID) {
	to, ok := d.eps[id]
	if !ok {
		return
	}
	delete(d.eps, id)
	delete(d.ids, to.name)
	d.partners[to.partner].eps--
}

// take turns a list into the module's entries. An endpoint keeps its number as long
// as it is on the list, whatever its address, and for a while after.
func (d *directory) take(l EndpointList) []logic.Entry {
	rows := make([]logic.Entry, 0, len(l.Endpoints))
	now := time.Now()
	if l.Complete {
		on := map[string]bool{}
		for _, in := range l.Endpoints {
			on[in.Name] = true
		}
		for id, to := range d.eps {
			if !on[to.name] && to.gone.IsZero() {
				to.gone = now
				d.eps[id] = to
			}
		}
	}
	for _, in := range l.Endpoints {
		id, ok := d.ids[in.Name]
		if !ok && in.State == logic.Gone {
			continue // it was never on our list, or is forgotten
		}
		if !ok {
			d.last++
			id = d.last
			d.ids[in.Name] = id
		}
		row := logic.Entry{Endpoint: id, Zone: slices.Index(d.zones, in.Zone), Dest: d.partner(in.Partner).dest,
			Kind:  slices.IndexFunc(d.kinds, func(k logic.Kind) bool { return k.Name == in.Kind }),
			State: in.State, NominalRate: in.Weight}
		to, listed := d.eps[id]
		if listed {
			d.partners[to.partner].eps--
		}
		if in.Addr != "" || !listed {
			to = target{name: in.Name, addr: in.Addr, zone: row.Zone, partner: in.Partner, kind: row.Kind, gone: to.gone}
		}
		to.state, to.weight = in.State, in.Weight
		if d.partner(to.partner).eps++; row.State != logic.Gone {
			to.gone = time.Time{}
		} else if to.gone.IsZero() {
			to.gone = now
		}
		d.eps[id] = to
		rows = append(rows, row)
	}
	return rows
}

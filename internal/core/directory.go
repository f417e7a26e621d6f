package core

import (
	"slices"
	"time"

	"cometrack/logic"
)

const (
	goneRetention    = time.Minute      // an endpoint off the list is remembered so long: it may come back
	partnerRetention = 10 * time.Minute // a partner without endpoints or messages keeps its number so long
)

// directory maps the names of endpoints and partners to the module's numbers. The
// loop owns it.
type directory struct {
	zones           []string
	kinds           []logic.Kind
	endpointIDs     map[string]logic.EndpointID
	endpoints       map[logic.EndpointID]listedEndpoint
	partners        map[string]*partner
	lastEndpoint    logic.EndpointID
	lastDestination int64
}

// target is where an endpoint can be reached.
type listedEndpoint struct {
	name      string // on the list
	addr      string
	zone      int
	partner   string
	kind      int
	state     logic.Readiness
	weight    float64
	goneSince time.Time // when it was taken off the list; zero while it is on it
}

// partner is a destination of the module.
type partner struct {
	destination int64
	endpoints   int       // endpoints, those that were taken off the list a short while ago too
	lastUsed    time.Time // when it last had an endpoint or a message
}

func newDirectory(zones []string, kinds []logic.Kind) *directory {
	return &directory{zones: zones, kinds: kinds, endpointIDs: map[string]logic.EndpointID{},
		endpoints: map[logic.EndpointID]listedEndpoint{}, partners: map[string]*partner{}}
}

// partner returns the entry of a partner, and makes one if there is none.
func (d *directory) partner(name string) *partner {
	p := d.partners[name]
	if p == nil {
		d.lastDestination++
		p = &partner{destination: d.lastDestination, lastUsed: time.Now()}
		d.partners[name] = p
	}
	return p
}

// serves says whether a partner has an endpoint, or had one a short while ago.
func (d *directory) hasEndpoint(name string) bool {
	p := d.partners[name]
	return p != nil && p.endpoints > 0
}

// zone is the name of a zone; empty for one that is not known.
func (d *directory) zoneName(i int) string {
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
func (d *directory) needsPruning(now time.Time) bool {
	for _, to := range d.endpoints {
		if !to.goneSince.IsZero() && now.Sub(to.goneSince) > goneRetention {
			return true
		}
	}
	for _, p := range d.partners {
		if p.endpoints == 0 {
			return true
		}
	}
	return false
}

// forget drops endpoints that have long been off the list and partners that have
// long had nothing, but for those in use.
func (d *directory) prune(now time.Time, calls map[logic.EndpointID]bool, messages map[string]bool) {
	for id, to := range d.endpoints {
		if !to.goneSince.IsZero() && now.Sub(to.goneSince) > goneRetention && !calls[id] {
			d.removeEndpoint(id)
		}
	}
	for name, p := range d.partners {
		switch {
		case p.endpoints > 0 || messages[name]:
			p.lastUsed = now
		case now.Sub(p.lastUsed) > partnerRetention:
			delete(d.partners, name)
		}
	}
}

func (d *directory) removeEndpoint(id logic.EndpointID) {
	to, ok := d.endpoints[id]
	if !ok {
		return
	}
	delete(d.endpoints, id)
	delete(d.endpointIDs, to.name)
	d.partners[to.partner].endpoints--
}

// take turns a list into the module's entries. An endpoint keeps its number as long
// as it is on the list, whatever its address, and for a while after.
func (d *directory) applyList(l EndpointList) []logic.Entry {
	rows := make([]logic.Entry, 0, len(l.Endpoints))
	now := time.Now()
	if l.Complete {
		on := map[string]bool{}
		for _, in := range l.Endpoints {
			on[in.Name] = true
		}
		for id, to := range d.endpoints {
			if !on[to.name] && to.goneSince.IsZero() {
				to.goneSince = now
				d.endpoints[id] = to
			}
		}
	}
	for _, in := range l.Endpoints {
		id, ok := d.endpointIDs[in.Name]
		if !ok && in.State == logic.Gone {
			continue // it was never on our list, or is forgotten
		}
		if !ok {
			d.lastEndpoint++
			id = d.lastEndpoint
			d.endpointIDs[in.Name] = id
		}
		row := logic.Entry{Endpoint: id, Zone: slices.Index(d.zones, in.Zone), Dest: d.partner(in.Partner).destination,
			Kind:  slices.IndexFunc(d.kinds, func(k logic.Kind) bool { return k.Name == in.Kind }),
			State: in.State, NominalRate: in.Weight}
		to, listed := d.endpoints[id]
		if listed {
			d.partners[to.partner].endpoints--
		}
		if in.Addr != "" || !listed {
			to = listedEndpoint{name: in.Name, addr: in.Addr, zone: row.Zone, partner: in.Partner, kind: row.Kind, goneSince: to.goneSince}
		}
		to.state, to.weight = in.State, in.Weight
		if d.partner(to.partner).endpoints++; row.State != logic.Gone {
			to.goneSince = time.Time{}
		} else if to.goneSince.IsZero() {
			to.goneSince = now
		}
		d.endpoints[id] = to
		rows = append(rows, row)
	}
	return rows
}

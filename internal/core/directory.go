package core

import (
	"slices"
	"time"

	"cometrack/logic"
)

const (
	goneRetention    = time.Minute      // an endpoint that left the list is kept for this long, as it may return
	partnerRetention = 10 * time.Minute // a partner without endpoints and messages keeps its number for this long
)

// directory maps the names of endpoints and partners to the scheduler's numbers. It is used by the loop only.
type directory struct {
	zones           []string
	kinds           []logic.Kind
	endpointIDs     map[string]logic.EndpointID
	endpoints       map[logic.EndpointID]listedEndpoint
	partners        map[string]*partner
	lastEndpoint    logic.EndpointID
	lastDestination int64
}

// listedEndpoint is an endpoint that is on the list, or was a short while ago.
type listedEndpoint struct {
	name      string
	addr      string
	zone      int
	partner   string
	kind      int
	state     logic.Readiness
	weight    float64
	goneSince time.Time // when it left the list; zero while it is listed
}

// partner is a destination of the scheduler.
type partner struct {
	destination int64
	endpoints   int       // number of endpoints, including those that left the list a short while ago
	lastUsed    time.Time // when it last had an endpoint or a message
}

func newDirectory(zones []string, kinds []logic.Kind) *directory {
	return &directory{zones: zones, kinds: kinds, endpointIDs: map[string]logic.EndpointID{},
		endpoints: map[logic.EndpointID]listedEndpoint{}, partners: map[string]*partner{}}
}

// partner returns the entry of a partner, and creates it if it is missing.
func (d *directory) partner(name string) *partner {
	p := d.partners[name]
	if p == nil {
		d.lastDestination++
		p = &partner{destination: d.lastDestination, lastUsed: time.Now()}
		d.partners[name] = p
	}
	return p
}

// hasEndpoint reports whether a partner has an endpoint, or had one a short while ago.
func (d *directory) hasEndpoint(name string) bool {
	p := d.partners[name]
	return p != nil && p.endpoints > 0
}

// zoneName returns the name of a zone; empty if the zone is unknown.
func (d *directory) zoneName(i int) string {
	if i < 0 || i >= len(d.zones) {
		return ""
	}
	return d.zones[i]
}

// kindName returns the name of a kind; empty if the kind is unknown.
func (d *directory) kindName(i int) string {
	if i < 0 || i >= len(d.kinds) {
		return ""
	}
	return d.kinds[i].Name
}

// needsPruning reports whether prune must be given the endpoints and partners in use: an endpoint left the list more
// than goneRetention ago, or a partner has no endpoint.
func (d *directory) needsPruning(now time.Time) bool {
	for _, entry := range d.endpoints {
		if !entry.goneSince.IsZero() && now.Sub(entry.goneSince) > goneRetention {
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

// prune removes endpoints and partners whose retention has expired, except for endpoints with calls and partners
// with messages.
func (d *directory) prune(now time.Time, endpointsInUse map[logic.EndpointID]bool, partnersInUse map[string]bool) {
	for id, entry := range d.endpoints {
		if !entry.goneSince.IsZero() && now.Sub(entry.goneSince) > goneRetention && !endpointsInUse[id] {
			d.removeEndpoint(id)
		}
	}
	for name, p := range d.partners {
		switch {
		case p.endpoints > 0 || partnersInUse[name]:
			p.lastUsed = now
		case now.Sub(p.lastUsed) > partnerRetention:
			delete(d.partners, name)
		}
	}
}

func (d *directory) removeEndpoint(id logic.EndpointID) {
	entry, ok := d.endpoints[id]
	if !ok {
		return
	}
	delete(d.endpoints, id)
	delete(d.endpointIDs, entry.name)
	d.partners[entry.partner].endpoints--
}

// moved returns the endpoints to which a list gives another address or another partner than they have.
func (d *directory) moved(list EndpointList) map[logic.EndpointID]bool {
	moved := map[logic.EndpointID]bool{}
	for _, listed := range list.Endpoints {
		id, known := d.endpointIDs[listed.Name]
		if !known || listed.Addr == "" {
			continue
		}
		if entry := d.endpoints[id]; entry.addr != listed.Addr || entry.partner != listed.Partner {
			moved[id] = true
		}
	}
	return moved
}

// applyList applies a list to the directory and returns its entries for the scheduler. An endpoint keeps its number
// while it is listed, even if its address changes, and for goneRetention after that.
func (d *directory) applyList(list EndpointList) []logic.Entry {
	rows := make([]logic.Entry, 0, len(list.Endpoints))
	now := time.Now()
	if list.Complete {
		listedNames := map[string]bool{}
		for _, listed := range list.Endpoints {
			listedNames[listed.Name] = true
		}
		for id, entry := range d.endpoints {
			if !listedNames[entry.name] && entry.goneSince.IsZero() {
				entry.goneSince = now
				d.endpoints[id] = entry
			}
		}
	}
	for _, listed := range list.Endpoints {
		id, ok := d.endpointIDs[listed.Name]
		if !ok && listed.State == logic.Gone {
			continue // it was never listed, or has been pruned
		}
		if !ok {
			d.lastEndpoint++
			id = d.lastEndpoint
			d.endpointIDs[listed.Name] = id
		}
		row := logic.Entry{Endpoint: id, Zone: slices.Index(d.zones, listed.Zone),
			Dest:  d.partner(listed.Partner).destination,
			Kind:  slices.IndexFunc(d.kinds, func(k logic.Kind) bool { return k.Name == listed.Kind }),
			State: listed.State, NominalRate: listed.Weight}
		entry, known := d.endpoints[id]
		if known {
			d.partners[entry.partner].endpoints--
		}
		if listed.Addr != "" || !known {
			entry = listedEndpoint{name: listed.Name, addr: listed.Addr, zone: row.Zone, partner: listed.Partner, kind: row.Kind,
				goneSince: entry.goneSince}
		}
		entry.state, entry.weight = listed.State, listed.Weight
		if d.partner(entry.partner).endpoints++; row.State != logic.Gone {
			entry.goneSince = time.Time{}
		} else if entry.goneSince.IsZero() {
			entry.goneSince = now
		}
		d.endpoints[id] = entry
		rows = append(rows, row)
	}
	return rows
}

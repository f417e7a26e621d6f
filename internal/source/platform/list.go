package platform

import (
	"strconv"

	"cometrack/internal/core"
	"cometrack/logic"
)

// List is a response of discovery.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // the list is complete, not a set of changes
	Instances  []Instance `json:"instances"`
}

// Instance is one endpoint in a list.
type Instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Dest      int64   `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
}

// EndpointList converts the list to the core's type.
func (l List) EndpointList() core.EndpointList {
	out := core.EndpointList{Complete: l.Reset, Endpoints: make([]core.Endpoint, len(l.Instances))}
	for i, in := range l.Instances {
		e := core.Endpoint{Name: in.ID, Addr: in.HostPort, Zone: in.Zone, Kind: in.Kind,
			Partner: strconv.FormatInt(in.Dest, 10), Weight: in.Weight}
		switch in.Lifecycle {
		case "up":
			e.State = logic.Ready
		case "removed":
			e.State = logic.Gone
		default: // nothing new is sent to an endpoint in an unknown state
			e.State = logic.Draining
		}
		out.Endpoints[i] = e
	}
	return out
}

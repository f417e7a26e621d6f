package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"cometrack/logic"
)

// setup is the JSON object that an instance gets at start. Unknown keys are
// ignored.
type setup struct {
	Balancers int      `json:"balancers"`
	Zone      int      `json:"zone"`
	Zones     []string `json:"zones"`
	Tick      float64  `json:"tick_s"`
	Mode      string   `json:"membership_mode"`
	Me        int      `json:"me"`
	Weights   string   `json:"weights"`
	Over      float64  `json:"over_share_worth"`
	Classes   []struct {
		Name      string  `json:"name"`
		Aim       float64 `json:"aim_s"`
		Deadline  float64 `json:"deadline_s"`
		Worth     float64 `json:"worth"`
		Late      float64 `json:"late_worth"`
		Effect    string  `json:"idempotency"`
		Group     string  `json:"group"`
		Window    float64 `json:"window_s"`
		KeepOrder bool    `json:"keep_order"`
	} `json:"classes"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_rps"`
	} `json:"tenants"`
	Kinds  []string `json:"machine_types"`
	Limits struct {
		MaxTries      int     `json:"max_attempts"`
		MaxOpen       int     `json:"max_open"`
		ConnIdle      float64 `json:"conn_idle_s"`
		ConnTimeout   float64 `json:"connect_timeout_s"`
		ConnCalls     int     `json:"multiplex"`
		MaxRetryAfter float64 `json:"max_retry_after_s"`
		MayCancel     bool    `json:"may_cancel"`
		Probing       bool    `json:"probing"`
		RetryAfter    bool    `json:"retry_after"`
	} `json:"limits"`
	Charges struct {
		Handshake float64 `json:"handshake"`
	} `json:"charges"`
	Load struct {
		How   string   `json:"how"`
		Names []string `json:"names"`
	} `json:"load_info"`
	Rules struct {
		DrainGrace   float64 `json:"drain_grace_s"`
		FallMultiple float64 `json:"fall_multiple"`
		Fall         float64 `json:"fall_s"`
		ColdFrom     float64 `json:"cold_from"`
		WarmAfter    float64 `json:"warm_after_s"`
		KeyQuiet     float64 `json:"key_quiet_s"`
		AskEvery     float64 `json:"ask_every_s"`
	} `json:"rules"`
	Facts struct {
		Slots int    `json:"call_slots"`
		Late  string `json:"late"`
		Batch []int  `json:"batch_by_kind"`
		Apart []bool `json:"separate_routes"`
	} `json:"specifics"`
}

var effects = map[string]logic.Effect{"retryable": logic.Safe, "dedup": logic.Keyed, "fragile": logic.Unsafe}

var weightModes = map[string]logic.WeightsMode{"": logic.WeightsOff, "off": logic.WeightsOff,
	"nominal": logic.WeightsNominal, "rough": logic.WeightsRough, "live": logic.WeightsRough}

// micros turns seconds of the JSON text into whole microseconds.
func micros(s float64) logic.Micros { return logic.Micros(math.Round(s * float64(logic.Second))) }

// Deployment is what the JSON object states: the module's settings, and what only
// the program around it needs.
type Deployment struct {
	Settings       logic.Settings
	Me             int      // number of this sender
	Zones          []string // names, in the order of logic.Entry.Zone
	ConnectTimeout logic.Micros
	Reports        []string // names of the values in the load reports that answers carry; empty if they carry none
}

// ParseSettings reads the module's settings from the JSON object of a create
// event. Whether the values make sense is for logic.New to say.
func ParseSettings(text []byte) (logic.Settings, error) {
	d, err := ParseDeployment(text)
	return d.Settings, err
}

// ParseDeployment reads the whole JSON object.
func ParseDeployment(text []byte) (Deployment, error) {
	var in setup
	if err := json.Unmarshal(text, &in); err != nil {
		return Deployment{}, err
	}
	set, err := in.settings()
	out := Deployment{Settings: set, Me: in.Me, Zones: in.Zones, ConnectTimeout: micros(in.Limits.ConnTimeout)}
	if in.Load.How == "inline" {
		out.Reports = in.Load.Names
	}
	return out, err
}

func (in *setup) settings() (logic.Settings, error) {
	out := logic.Settings{Senders: in.Balancers, Zone: in.Zone, Zones: len(in.Zones), Slots: in.Facts.Slots,
		ConnIdle: micros(in.Limits.ConnIdle), ConnCalls: in.Limits.ConnCalls, ConnCost: in.Charges.Handshake,
		MaxOpen: in.Limits.MaxOpen, MaxTries: in.Limits.MaxTries, Tick: micros(in.Tick),
		ListOnRequest: in.Mode == "on_request", Probing: in.Limits.Probing, MayCancel: in.Limits.MayCancel,
		AdviseRetry: in.Limits.RetryAfter, ExponentialDecay: in.Facts.Late == "halves",
		MaxRetryAfter: micros(in.Limits.MaxRetryAfter), OverQuotaWorth: in.Over,
		DrainGrace: micros(in.Rules.DrainGrace), FallMultiple: in.Rules.FallMultiple,
		FallWindow: micros(in.Rules.Fall), ColdFrom: in.Rules.ColdFrom, WarmAfter: micros(in.Rules.WarmAfter),
		KeyQuiet: micros(in.Rules.KeyQuiet), ListRetryWithin: micros(in.Rules.AskEvery), RemainingIndex: -1, LimitIndex: -1}
	mode, ok := weightModes[in.Weights]
	if !ok {
		return out, fmt.Errorf("weights: unknown value %q", in.Weights)
	}
	out.Weights = mode
	for i, c := range in.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return out, fmt.Errorf("classes[%d].idempotency: unknown value %q", i, c.Effect)
		}
		switch {
		case c.Name == "":
			return out, fmt.Errorf("classes[%d].name: must be given", i)
		case slices.ContainsFunc(out.Classes, func(x logic.Class) bool { return x.Name == c.Name }):
			return out, fmt.Errorf("classes[%d].name: %q stands twice", i, c.Name)
		case !(c.Deadline > 0):
			return out, fmt.Errorf("classes[%d].deadline_s: %v is not over 0", i, c.Deadline)
		}
		out.Classes = append(out.Classes, logic.Class{Name: c.Name, Aim: micros(c.Aim), Deadline: micros(c.Deadline),
			Worth: c.Worth, LateWorth: c.Late, Effect: effect, ByZone: c.Group != "all" && c.Group != "",
			Window: micros(c.Window), KeepOrder: c.KeepOrder})
	}
	for _, t := range in.Tenants {
		out.Tenants = append(out.Tenants, logic.Tenant{Name: t.Name, QuotaRPS: t.Quota})
	}
	for i, name := range in.Kinds {
		k := logic.Kind{Name: name, MaxBatch: 1}
		if i < len(in.Facts.Batch) {
			k.MaxBatch = in.Facts.Batch[i]
		}
		if i < len(in.Facts.Apart) {
			k.Independent = in.Facts.Apart[i]
		}
		out.Kinds = append(out.Kinds, k)
	}
	if in.Load.How != "off" {
		for i, name := range in.Load.Names {
			switch name {
			case "x0":
				out.RemainingIndex = i
			case "x1":
				out.LimitIndex = i
			}
		}
	}
	return out, nil
}

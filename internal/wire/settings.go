package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"cometrack/logic"
)

// setup is the JSON object that an instance receives at its start. Unknown keys are
// ignored.
type setup struct {
	Balancers    int      `json:"balancers"`
	Zone         int      `json:"zone"`
	Zones        []string `json:"zones"`
	Tick         float64  `json:"tick_s"`
	Mode         string   `json:"membership_mode"`
	SenderNumber int      `json:"me"`
	Weights      string   `json:"weights"`
	OverShare    float64  `json:"over_share_worth"`
	Classes      []struct {
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
		MaxAttempts   int     `json:"max_attempts"`
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
		Method string   `json:"how"`
		Names  []string `json:"names"`
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
	Specifics struct {
		Slots          int    `json:"call_slots"`
		Decay          string `json:"late"`
		BatchSizes     []int  `json:"batch_by_kind"`
		SeparateRoutes []bool `json:"separate_routes"`
	} `json:"specifics"`
}

// effects has the simulator's name of each effect.
var effects = map[string]logic.Effect{"retryable": logic.Safe, "dedup": logic.Keyed, "fragile": logic.Unsafe}

// weightModes has the simulator's name of each way to weight endpoints.
var weightModes = map[string]logic.WeightsMode{"": logic.WeightsOff, "off": logic.WeightsOff,
	"nominal": logic.WeightsNominal, "rough": logic.WeightsRough, "live": logic.WeightsRough}

// toMicros rounds seconds, as the JSON text has them, to whole microseconds.
func toMicros(s float64) logic.Micros { return logic.Micros(math.Round(s * float64(logic.Second))) }

// Deployment is the content of the JSON object: the settings of package logic, and those
// that only the program around it needs.
type Deployment struct {
	Settings       logic.Settings
	SenderNumber   int
	Zones          []string // names; [logic.Entry] Zone is an index into them
	ConnectTimeout logic.Micros
	LoadMetrics    []string // names of the values in the load reports of replies; empty if replies carry none
}

// ParseSettings reads the settings of package logic from the JSON object of a create
// event. It does not check their ranges; [logic.New] does.
func ParseSettings(text []byte) (logic.Settings, error) {
	d, err := ParseDeployment(text)
	return d.Settings, err
}

// ParseDeployment reads the whole JSON object of a create event.
func ParseDeployment(text []byte) (Deployment, error) {
	var in setup
	if err := json.Unmarshal(text, &in); err != nil {
		return Deployment{}, err
	}
	logicSettings, err := in.settings()
	out := Deployment{Settings: logicSettings, SenderNumber: in.SenderNumber, Zones: in.Zones,
		ConnectTimeout: toMicros(in.Limits.ConnTimeout)}
	if in.Load.Method == "inline" {
		out.LoadMetrics = in.Load.Names
	}
	return out, err
}

func (in *setup) settings() (logic.Settings, error) {
	out := logic.Settings{Senders: in.Balancers, Zone: in.Zone, Zones: len(in.Zones), Slots: in.Specifics.Slots,
		ConnIdle: toMicros(in.Limits.ConnIdle), ConnCalls: in.Limits.ConnCalls, ConnCost: in.Charges.Handshake,
		MaxOpen: in.Limits.MaxOpen, MaxAttempts: in.Limits.MaxAttempts, Tick: toMicros(in.Tick),
		ListOnRequest: in.Mode == "on_request", Probing: in.Limits.Probing, MayCancel: in.Limits.MayCancel,
		AdviseRetry: in.Limits.RetryAfter, ExponentialDecay: in.Specifics.Decay == "halves",
		MaxRetryAfter: toMicros(in.Limits.MaxRetryAfter), OverQuotaWorth: in.OverShare,
		DrainGrace: toMicros(in.Rules.DrainGrace), FallMultiple: in.Rules.FallMultiple,
		FallWindow: toMicros(in.Rules.Fall), ColdFrom: in.Rules.ColdFrom, WarmAfter: toMicros(in.Rules.WarmAfter),
		KeyQuiet: toMicros(in.Rules.KeyQuiet), ListRetryWithin: toMicros(in.Rules.AskEvery),
		RemainingIndex: -1, LimitIndex: -1}
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
		out.Classes = append(out.Classes, logic.Class{Name: c.Name, Aim: toMicros(c.Aim), Deadline: toMicros(c.Deadline),
			Worth: c.Worth, LateWorth: c.Late, Effect: effect, ByZone: c.Group != "all" && c.Group != "",
			Window: toMicros(c.Window), KeepOrder: c.KeepOrder})
	}
	for _, t := range in.Tenants {
		out.Tenants = append(out.Tenants, logic.Tenant{Name: t.Name, QuotaRPS: t.Quota})
	}
	for i, name := range in.Kinds {
		k := logic.Kind{Name: name, MaxBatch: 1}
		if i < len(in.Specifics.BatchSizes) {
			k.MaxBatch = in.Specifics.BatchSizes[i]
		}
		if i < len(in.Specifics.SeparateRoutes) {
			k.Independent = in.Specifics.SeparateRoutes[i]
		}
		out.Kinds = append(out.Kinds, k)
	}
	if in.Load.Method != "off" {
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

package placer

import (
	"fmt"
	"math"
	"sort"

	"buckthorndrum/identifier"
)

// EngineState is the state of the weights that an engine reports.
type EngineState struct {
	Model    identifier.Model     `json:"model"`
	Adapters []identifier.Adapter `json:"adapters"`
	// Loading is set if the weights are not ready yet.
	Loading bool `json:"loading"`
	// Fence is the fence number of the last order that the engine accepted, zero if
	// the engine does not report it.
	Fence uint64 `json:"fence"`
}

// sanitized returns s without names that are not valid and with at most
// maxAdapters adapters, so that the state can be sent to other processes
// whatever the engine reports.
func (s EngineState) sanitized() EngineState {
	if identifier.CheckModel("model", string(s.Model)) != nil {
		s.Model = ""
	}
	var as []identifier.Adapter
	for _, a := range s.Adapters {
		if identifier.CheckModel("adapter", string(a)) == nil && len(as) < maxAdapters {
			as = append(as, a)
		}
	}
	s.Adapters = as
	return s
}

// maxAdapters is the maximum number of one engine's adapters in a report.
const maxAdapters = 256

// serves reports whether the engine serves kinds with configuration k.
func (s EngineState) serves(k KindConfig) bool {
	if s.Loading || s.Model != k.Model {
		return false
	}
	return k.Adapter == "" || s.hasAdapter(k.Adapter)
}

func (s EngineState) hasAdapter(a identifier.Adapter) bool {
	for _, loaded := range s.Adapters {
		if loaded == a {
			return true
		}
	}
	return false
}

// LoadOrder instructs an engine to load weights. It names all weights to be
// loaded, so that sending it twice does no harm.
type LoadOrder struct {
	Model    identifier.Model     `json:"model"`
	Adapters []identifier.Adapter `json:"adapters"`
	// Fence increases with each order for the engine.
	Fence uint64 `json:"fence"`
}

// Report is the state that an agent sends to the other agents of its pool and to
// the routers.
type Report struct {
	// Model is the model that the engine has loaded.
	Model    identifier.Model     `cbor:"1,keyasint,omitempty" json:"model"`
	Adapters []identifier.Adapter `cbor:"2,keyasint,omitempty" json:"adapters,omitempty"`
	// Next is the model that the target is switching to, empty if it stays.
	Next identifier.Model `cbor:"3,keyasint,omitempty" json:"next,omitempty"`
	// Ready is set if the target takes work for its model.
	Ready bool `cbor:"4,keyasint,omitempty" json:"ready"`
	// Used is the fraction of the target's slots in use, in eighths.
	Used uint8 `cbor:"5,keyasint,omitempty" json:"used"`
	// Waiting is the waiting work that this agent knows of, by kind.
	Waiting []WaitingKind `cbor:"6,keyasint,omitempty" json:"waiting,omitempty"`
}

// WaitingKind is the amount of waiting work of one kind.
type WaitingKind struct {
	Kind identifier.Kind `cbor:"1,keyasint" json:"kind"`
	// Weight is the sum of the weights of the workspaces that have waiting requests,
	// rounded by roundWeight.
	Weight float64 `cbor:"2,keyasint" json:"weight"`
}

// Serves reports whether a target with this report takes work of kinds with
// configuration k.
func (r Report) Serves(k KindConfig) bool {
	return r.Ready && EngineState{Model: r.Model, Adapters: r.Adapters}.serves(k)
}

// Check returns an error if a name or a weight of a received report is not
// valid.
func (r Report) Check() error {
	names := map[string]string{"model": string(r.Model), "next model": string(r.Next)}
	for field, name := range names {
		if name == "" {
			continue
		}
		if err := identifier.CheckModel(field, name); err != nil {
			return err
		}
	}
	for _, a := range r.Adapters {
		if err := identifier.CheckModel("adapter", string(a)); err != nil {
			return err
		}
	}
	for _, w := range r.Waiting {
		if !(w.Weight >= 0) || math.IsInf(w.Weight, 1) {
			return fmt.Errorf("weight %v of waiting kind %q is negative or not finite", w.Weight, w.Kind)
		}
	}
	return nil
}

// usedSteps is the number of steps in which the usage of a target is reported.
const usedSteps = 8

// weightStepsPerDoubling is the number of steps between two powers of two to
// which a weight is rounded. Coarse values change rarely, which saves messages.
const weightStepsPerDoubling = 4

// roundWeight rounds w to the nearest step.
func roundWeight(w float64) float64 {
	return math.Exp2(math.Round(math.Log2(w)*weightStepsPerDoubling) / weightStepsPerDoubling)
}

// waitingKinds returns the kinds with a positive weight, sorted by kind, with
// their weights rounded.
func waitingKinds(weights map[identifier.Kind]float64) []WaitingKind {
	var ws []WaitingKind
	for k, w := range weights {
		if w > 0 {
			ws = append(ws, WaitingKind{k, roundWeight(w)})
		}
	}
	sort.Slice(ws, func(i, j int) bool { return ws[i].Kind < ws[j].Kind })
	return ws
}

package placer

import (
	"fmt"
	"math"
	"sort"

	"buckthorndrum/identifier"
)

// EngineState is what an engine reports of its weights.
type EngineState struct {
	Model    identifier.Model     `json:"model"`
	Adapters []identifier.Adapter `json:"adapters"`
	// Loading tells that the weights are not ready yet.
	Loading bool `json:"loading"`
	// Fence is the number of the last order taken, zero if the engine does not
	// tell.
	Fence uint64 `json:"fence"`
}

// sanitized drops names that no kind can ask for, so that whatever an engine says
// can be told to others.
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

// maxAdapters bounds the adapters of one engine that are told to others.
const maxAdapters = 256

// serves tells whether the engine serves kinds with rule r.
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

// LoadOrder tells an engine which weights to have loaded. It names all of them, so
// that giving it twice does no harm.
type LoadOrder struct {
	Model    identifier.Model     `json:"model"`
	Adapters []identifier.Adapter `json:"adapters"`
	// Fence rises with each order for the engine.
	Fence uint64 `json:"fence"`
}

// Report is what an agent tells the other agents of its pool, and the routers.
type Report struct {
	// Model is the model that the engine has loaded.
	Model    identifier.Model     `cbor:"1,keyasint,omitempty" json:"model"`
	Adapters []identifier.Adapter `cbor:"2,keyasint,omitempty" json:"adapters,omitempty"`
	// Next is the model for which the target leaves the present one, empty if
	// it stays.
	Next identifier.Model `cbor:"3,keyasint,omitempty" json:"next,omitempty"`
	// Ready tells that the target takes work for its model.
	Ready bool `cbor:"4,keyasint,omitempty" json:"ready"`
	// Used is the part of the target's slots in use, in eighths.
	Used uint8 `cbor:"5,keyasint,omitempty" json:"used"`
	// Waiting is what waits as far as this agent was told, by kind.
	Waiting []WaitingKind `cbor:"6,keyasint,omitempty" json:"waiting,omitempty"`
}

// WaitingKind is how much waits of one kind.
type WaitingKind struct {
	Kind identifier.Kind `cbor:"1,keyasint" json:"kind"`
	// Weight is the sum of the weights of the workspaces that wait, rounded.
	Weight float64 `cbor:"2,keyasint" json:"weight"`
}

// Serves tells whether a target with this report takes work with rule r.
func (r Report) Serves(k KindConfig) bool {
	return r.Ready && EngineState{Model: r.Model, Adapters: r.Adapters}.serves(k)
}

// Check reports the first fault of a report that came over a link.
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
			return fmt.Errorf("weight %v of waiting kind %q is not a positive number", w.Weight, w.Kind)
		}
	}
	return nil
}

// usedSteps is the number of steps in which the use of a target is told.
const usedSteps = 8

// weightStepsPerDoubling is how many steps a weight has between two powers of two. Coarse
// figures change seldom and so cost little to tell.
const weightStepsPerDoubling = 4

// roundWeight rounds w to the nearest step.
func roundWeight(w float64) float64 {
	return math.Exp2(math.Round(math.Log2(w)*weightStepsPerDoubling) / weightStepsPerDoubling)
}

// waitingKinds renders what waits here in a fixed order.
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

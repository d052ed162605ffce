package router

import (
	"encoding/json"

	"buckthorndrum/claimer"
	"buckthorndrum/configurator"
)

// claimRecord is the value of a claim in the key-value service.
type claimRecord struct {
	// Key is the minted key that holds the claim.
	Key string `json:"key"`
	// Request is the hash of what the key was first used for.
	Request configurator.Hash `json:"request"`
}

func claimName(k keyed) string {
	return "claims/" + string(k.call.item.Class.Workspace) + "/" + k.value
}

func fingerprint(k keyed) configurator.Hash {
	return configurator.HashOf(append([]byte(k.call.item.Class.Kind+"|"), k.call.body...))
}

func encodeClaim(k keyed, own string) ([]byte, error) {
	return json.Marshal(claimRecord{Key: own, Request: fingerprint(k)})
}

func decodeClaim(k keyed, raw []byte) (claimer.Event, string) {
	var rec claimRecord
	if err := json.Unmarshal(raw, &rec); err != nil {
		return claimer.Failed, ""
	}
	if rec.Request != fingerprint(k) {
		return eventMismatch, ""
	}
	return claimer.Exists, rec.Key
}

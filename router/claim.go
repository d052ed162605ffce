package router

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/claimer"
	"buckthorndrum/configurator"
	"buckthorndrum/queuer"
)

// claimRecord is the value of a claim in the key-value service.
type claimRecord struct {
	// Key is the minted key that holds the claim.
	Key string `json:"key"`
	// Request is the hash of what the key was first used for.
	Request configurator.Hash `json:"request"`
}

func claimName(k *keyed) string {
	return "claims/" + string(k.call.item.Class.Workspace) + "/" + k.value
}

func fingerprint(k *keyed) configurator.Hash {
	return configurator.HashOf(append([]byte(k.call.item.Class.Kind+"|"), k.call.body...))
}

func encodeClaim(k *keyed, own string) ([]byte, error) {
	return json.Marshal(claimRecord{Key: own, Request: fingerprint(k)})
}

func decodeClaim(k *keyed, raw []byte) (claimer.Event, string) {
	var rec claimRecord
	if err := json.Unmarshal(raw, &rec); err != nil {
		return claimer.Failed, ""
	}
	if rec.Request != fingerprint(k) {
		k.fail(stepClaim, storePeer, reasonReused, "the key was used for another request")
		return claimer.Mismatch, ""
	}
	return claimer.Exists, rec.Key
}

// refused notes that the request would not be admitted now.
func (k *keyed) refused(err error) {
	k.last = ending{Step: stepAdmit, Detail: err.Error(), RetryAfter: time.Second}
	var ref queuer.Refusal
	if errors.As(err, &ref) {
		k.last.Reason = string(ref.Reason)
		k.last.RetryAfter = ref.RetryAfter
	}
}

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

func claimStoreKey(k *keyedAttempt) string {
	return "claims/" + string(k.call.item.Class.Workspace) + "/" + k.callerKey
}

func requestHash(k *keyedAttempt) configurator.Hash {
	return configurator.HashOf(append([]byte(k.call.item.Class.Kind+"|"), k.call.body...))
}

func encodeClaim(k *keyedAttempt, mintedKey string) ([]byte, error) {
	return json.Marshal(claimRecord{Key: mintedKey, Request: requestHash(k)})
}

func decodeClaim(k *keyedAttempt, raw []byte) (claimer.Event, string) {
	var rec claimRecord
	if err := json.Unmarshal(raw, &rec); err != nil {
		return claimer.Failed, ""
	}
	if rec.Request != requestHash(k) {
		k.setFailure(stepClaim, storePeerName, reasonKeyReused, "the key was used for another request")
		return claimer.Mismatch, ""
	}
	return claimer.Exists, rec.Key
}

// setRefusal notes that the request would not be admitted now.
func (k *keyedAttempt) setRefusal(err error) {
	k.result = result{Step: stepAdmit, Detail: err.Error(), RetryAfter: time.Second}
	var ref queuer.Refusal
	if errors.As(err, &ref) {
		k.result.Reason = string(ref.Reason)
		k.result.RetryAfter = ref.RetryAfter
	}
}

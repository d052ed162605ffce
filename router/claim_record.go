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
	// Request is the hash of the request for which the caller's key was first used.
	Request configurator.Hash `json:"request"`
}

// claimStoreKey returns the key of a claim in the key-value service.
func claimStoreKey(k *keyedAttempt) string {
	return "claims/" + string(k.call.item.Class.Workspace) + "/" + k.callerKey
}

// requestHash returns the hash of a request's kind and body. A claim holds it, so that
// a key cannot be used for another request.
func requestHash(k *keyedAttempt) configurator.Hash {
	return configurator.HashOf(append([]byte(k.call.item.Class.Kind+"|"), k.call.body...))
}

// encodeClaim returns the claim of k's caller key by the minted key.
func encodeClaim(k *keyedAttempt, mintedKey string) ([]byte, error) {
	return json.Marshal(claimRecord{Key: mintedKey, Request: requestHash(k)})
}

// decodeClaim decodes a stored claim. It returns Exists and the minted key that holds
// the claim, Mismatch if the claim is for another request than k's, or Failed if raw
// cannot be decoded.
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

// setRefusal records that the request would not be admitted now, because of err.
func (k *keyedAttempt) setRefusal(err error) {
	k.result = result{Step: stepAdmit, Detail: err.Error(), RetryAfter: time.Second}
	var ref queuer.Refusal
	if errors.As(err, &ref) {
		k.result.Reason = string(ref.Reason)
		k.result.RetryAfter = ref.RetryAfter
	}
}

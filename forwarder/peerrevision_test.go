package forwarder

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// A revision that no router tells any more kept lower ones, which are still newer than this
// router's, from being heard.
func TestExpiredPeerRevisionDoesNotHideLowerOne(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	now := clocker.Now()
	own := f.Revision()
	f.ReceivePeerRevision(now, own+9)
	later := now.Add(peerRevisionTTL + time.Second)
	f.ReceivePeerRevision(later, own+1)
	f.ConfirmFreshness(later.Add(time.Second), identifier.StorePosition{Era: 1, Revision: 5})
	g.Expect(f.confirmedAt()).To(BeNumerically("<", later))
}

// Package spreader carries the configuration from whoever is ahead to whoever
// is behind, over the links that exist anyway.
//
// Every frame has its sender's revision. A process that sees a higher one asks
// for the head, then for the parts it lacks. The package is pure: a frame gives
// the replies to send on the same link.
package spreader

import (
	"github.com/pkg/errors"

	"buckthorndrum/configurator"
	"buckthorndrum/messenger"
)

// maxPartsPerFrame bounds the parts sent in one frame, so that it stays below
// the frame limit.
const maxPartsPerFrame = 4

// Result is what a received frame calls for.
type Result struct {
	// Replies go back on the link on which the frame came.
	Replies []messenger.Frame
	// Adopted tells that a new configuration came into force.
	Adopted bool
}

// HandleAndReply handles the configuration in a frame from a peer, sends the replies, and
// reports whether a new configuration came into force.
func HandleAndReply(a *configurator.Adopter, f messenger.Frame, reply func(messenger.Frame)) (adopted bool, err error) {
	res, err := Handle(a, f)
	for _, r := range res.Replies {
		reply(r)
	}
	return res.Adopted, err
}

// Handle handles the configuration in a frame from a peer.
func Handle(a *configurator.Adopter, f messenger.Frame) (Result, error) {
	var res Result
	if f.Revision > a.Revision() && f.Config == nil {
		res.Replies = append(res.Replies, messenger.Frame{Want: &messenger.Want{Head: true}})
	}
	if f.Want != nil {
		res.Replies = append(res.Replies, repliesTo(a, *f.Want)...)
	}
	if f.Config == nil {
		return res, nil
	}
	return res, handleConfig(a, *f.Config, &res)
}

func handleConfig(a *configurator.Adopter, c messenger.Config, res *Result) error {
	if len(c.Head) > 0 {
		adopted, missing, err := a.OfferHead(c.Head)
		if err != nil {
			return errors.Wrap(err, "take configuration head")
		}
		res.Adopted = res.Adopted || adopted
		for len(missing) > 0 {
			n := min(len(missing), maxPartsPerFrame)
			res.Replies = append(res.Replies, messenger.Frame{Want: &messenger.Want{Parts: missing[:n]}})
			missing = missing[n:]
		}
	}
	for _, raw := range c.Parts {
		adopted, err := a.OfferPart(raw)
		if err != nil {
			return errors.Wrap(err, "take configuration part")
		}
		res.Adopted = res.Adopted || adopted
	}
	return nil
}

func repliesTo(a *configurator.Adopter, w messenger.Want) []messenger.Frame {
	var c messenger.Config
	if w.Head {
		_, c.Head = a.Head()
	}
	for i, h := range w.Parts {
		if i >= maxPartsPerFrame {
			break
		}
		if raw := a.Part(h); raw != nil {
			c.Parts = append(c.Parts, raw)
		}
	}
	if len(c.Head) == 0 && len(c.Parts) == 0 {
		return nil
	}
	return []messenger.Frame{{Config: &c}}
}

// Package spreader distributes the configuration between processes over their
// existing links, from those with a newer revision to those with an older one.
//
// Every frame carries its sender's revision. A process that receives a higher
// revision than its own requests the head record, and then the parts that it
// lacks. The package does no I/O: for each frame it returns the replies to send
// on the same link.
package spreader

import (
	"github.com/pkg/errors"

	"buckthorndrum/configurator"
	"buckthorndrum/messenger"
)

// maxPartsPerFrame is the maximum number of parts in one frame. It keeps the
// frame below the frame size limit.
const maxPartsPerFrame = 4

// Result is the result of a received frame.
type Result struct {
	// Replies are to be sent on the link on which the frame was received.
	Replies []messenger.Frame
	// Adopted is set if a new configuration came into force.
	Adopted bool
}

// HandleAndReply handles the configuration in a frame from a peer, passes each
// reply to the function reply, and reports whether a new configuration came into
// force. The error is that of Handle.
func HandleAndReply(a *configurator.Adopter, f messenger.Frame, reply func(messenger.Frame)) (adopted bool, err error) {
	res, err := Handle(a, f)
	for _, r := range res.Replies {
		reply(r)
	}
	return res.Adopted, err
}

// Handle handles the configuration in a frame from a peer. It returns an error
// if a received head or part is not valid. The result may then still hold
// replies.
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
			return errors.Wrap(err, "apply configuration head")
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
			return errors.Wrap(err, "apply configuration part")
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

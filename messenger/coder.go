package messenger

import (
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"buckthorndrum/counter"
	"buckthorndrum/identifier"
	"buckthorndrum/isolator"
	"buckthorndrum/placer"
	"buckthorndrum/scheduler"
)

// Coder encodes and decodes the frames of one link. Each side numbers the
// classes, workspaces and origins that it names, and sends each name once, so
// that a frame costs no more than a few bytes for each of them. It is not safe
// for concurrent use by several encoders or by several decoders.
type Coder struct {
	sent     numbers
	received names
	// told and heard are the revisions that went last in each direction. A
	// frame has its revision only if that has changed.
	told  identifier.Revision
	heard identifier.Revision
}

// NewCoder returns the coder of a new link.
func NewCoder() *Coder {
	return &Coder{sent: numbers{
		classes:    map[identifier.Class]uint32{},
		workspaces: map[identifier.Workspace]uint32{},
		origins:    map[identifier.Origin]uint32{},
	}}
}

// numbers are the names that this side has sent.
type numbers struct {
	classes    map[identifier.Class]uint32
	workspaces map[identifier.Workspace]uint32
	origins    map[identifier.Origin]uint32
}

// names are the names that the other side has sent, in the order of their
// numbers.
type names struct {
	classes    []identifier.Class
	workspaces []identifier.Workspace
	origins    []identifier.Origin
}

// maxNames bounds the names of one sort that one link may number.
const maxNames = 1 << 18

// wireFrame is a Frame as it is sent.
type wireFrame struct {
	Revision  identifier.Revision `cbor:"1,keyasint,omitempty"`
	Hello     *Hello              `cbor:"2,keyasint,omitempty"`
	Offers    []wireOffer         `cbor:"3,keyasint,omitempty"`
	Grants    []wireGrant         `cbor:"4,keyasint,omitempty"`
	Declines  []uint64            `cbor:"5,keyasint,omitempty"`
	Load      *scheduler.Load     `cbor:"6,keyasint,omitempty"`
	Placement *placer.Report      `cbor:"17,keyasint,omitempty"`
	Crashes   *isolator.Report    `cbor:"20,keyasint,omitempty"`
	// Singles are offers of one request without a hint or a prefix.
	Singles []wireSingle `cbor:"19,keyasint,omitempty"`
	// Withdrawn are the classes of offers of nothing, by number.
	Withdrawn  []uint32               `cbor:"18,keyasint,omitempty"`
	Rows       []wireRow              `cbor:"7,keyasint,omitempty"`
	Relay      bool                   `cbor:"8,keyasint,omitempty"`
	Counters   bool                   `cbor:"9,keyasint,omitempty"`
	Caught     bool                   `cbor:"16,keyasint,omitempty"`
	Want       *Want                  `cbor:"10,keyasint,omitempty"`
	Config     *Config                `cbor:"11,keyasint,omitempty"`
	Leaving    bool                   `cbor:"12,keyasint,omitempty"`
	Classes    []identifier.Class     `cbor:"13,keyasint,omitempty"`
	Workspaces []identifier.Workspace `cbor:"14,keyasint,omitempty"`
	Origins    []identifier.Origin    `cbor:"15,keyasint,omitempty"`
}

// wireOffer is a scheduler.Offer with its class by number and its age in
// milliseconds.
type wireOffer struct {
	_      struct{} `cbor:",toarray"`
	Class  uint32
	Count  int
	Age    uint32
	Hint   identifier.Cost
	Prefix identifier.Prefix
}

// wireSingle is the commonest offer.
type wireSingle struct {
	_     struct{} `cbor:",toarray"`
	Class uint32
	Age   uint32
}

// wireGrant is a Grant with its class by number.
type wireGrant struct {
	_      struct{} `cbor:",toarray"`
	Class  uint32
	Number uint64
}

// wireRow is a counter.Row with its names by number. Origin 0 stands for none,
// and others are counted from 1.
type wireRow struct {
	_         struct{} `cbor:",toarray"`
	Workspace uint32
	Period    counter.Period
	Base      identifier.Cost
	Origin    uint32
	Value     identifier.Cost
	Refund    identifier.Cost
}

// Encode renders a frame for the other side of the link.
func (c *Coder) Encode(f Frame) ([]byte, error) {
	w := wireFrame{
		Hello: f.Hello, Declines: f.Declines, Load: f.Load, Placement: f.Placement,
		Want: f.Want, Config: f.Config, Leaving: f.Leaving, Crashes: f.Crashes,
	}
	if f.Revision != c.told {
		w.Revision = f.Revision
		c.told = f.Revision
	}
	for _, o := range f.Offers {
		c.offer(&w, o)
	}
	for _, g := range f.Grants {
		w.Grants = append(w.Grants, wireGrant{Class: c.class(&w, g.Class), Number: g.Number})
	}
	if f.Counters != nil {
		w.Counters = true
		w.Relay = f.Counters.Relay
		w.Caught = f.Counters.Caught
		for _, r := range f.Counters.Rows {
			w.Rows = append(w.Rows, wireRow{
				Workspace: c.workspace(&w, r.Workspace), Period: r.Period, Base: r.Base,
				Origin: c.origin(&w, r.Origin), Value: r.Charged, Refund: r.Refunded,
			})
		}
	}
	raw, err := cbor.Marshal(w)
	return raw, errors.Wrap(err, "encode frame")
}

// offer adds an offer to w in its shortest form.
func (c *Coder) offer(w *wireFrame, o scheduler.Offer) {
	n := c.class(w, o.Class)
	switch {
	case o.Count == 0:
		w.Withdrawn = append(w.Withdrawn, n)
	case o.Count == 1 && o.CostHint == 0 && o.Prefix == 0:
		w.Singles = append(w.Singles, wireSingle{Class: n, Age: milliseconds(o.Age)})
	default:
		w.Offers = append(w.Offers, wireOffer{Class: n, Count: o.Count, Age: milliseconds(o.Age), Hint: o.CostHint, Prefix: o.Prefix})
	}
}

func milliseconds(age time.Duration) uint32 {
	return uint32(min(max(age.Milliseconds(), 0), math.MaxUint32))
}

// class returns the number of a class, and adds its name to w the first time.
func (c *Coder) class(w *wireFrame, v identifier.Class) uint32 {
	n, known := c.sent.classes[v]
	if !known {
		n = uint32(len(c.sent.classes))
		c.sent.classes[v] = n
		w.Classes = append(w.Classes, v)
	}
	return n
}

func (c *Coder) workspace(w *wireFrame, v identifier.Workspace) uint32 {
	n, known := c.sent.workspaces[v]
	if !known {
		n = uint32(len(c.sent.workspaces))
		c.sent.workspaces[v] = n
		w.Workspaces = append(w.Workspaces, v)
	}
	return n
}

func (c *Coder) origin(w *wireFrame, v identifier.Origin) uint32 {
	if v.Target == "" {
		return 0
	}
	n, known := c.sent.origins[v]
	if !known {
		n = uint32(len(c.sent.origins)) + 1
		c.sent.origins[v] = n
		w.Origins = append(w.Origins, v)
	}
	return n
}

// Decode reads and checks a frame of the other side.
func (c *Coder) Decode(raw []byte) (Frame, error) {
	var w wireFrame
	if err := decMode.Unmarshal(raw, &w); err != nil {
		return Frame{}, errors.Wrap(err, "decode frame")
	}
	if err := c.learn(w); err != nil {
		return Frame{}, errors.Wrap(err, "check frame")
	}
	f, err := c.frame(w)
	return f, errors.Wrap(err, "check frame")
}

// learn takes in the names that a frame brings.
func (c *Coder) learn(w wireFrame) error {
	for _, v := range w.Classes {
		if err := checkClass(v); err != nil {
			return err
		}
	}
	for _, v := range w.Workspaces {
		if err := identifier.CheckName("workspace", string(v)); err != nil {
			return err
		}
	}
	for _, v := range w.Origins {
		if err := identifier.CheckName("target", string(v.Target)); err != nil {
			return err
		}
	}
	r := &c.received
	r.classes = append(r.classes, w.Classes...)
	r.workspaces = append(r.workspaces, w.Workspaces...)
	r.origins = append(r.origins, w.Origins...)
	if n := max(len(r.classes), len(r.workspaces), len(r.origins)); n > maxNames {
		return fmt.Errorf("link numbers %d names, more than %d", n, maxNames)
	}
	return nil
}

func (c *Coder) frame(w wireFrame) (Frame, error) {
	if w.Revision != 0 {
		c.heard = w.Revision
	}
	f := Frame{
		Revision: c.heard, Hello: w.Hello, Declines: w.Declines, Load: w.Load, Placement: w.Placement,
		Want: w.Want, Config: w.Config, Leaving: w.Leaving, Crashes: w.Crashes,
	}
	if w.Hello != nil {
		if err := w.Hello.check(); err != nil {
			return Frame{}, err
		}
	}
	if w.Placement != nil {
		if err := w.Placement.Check(); err != nil {
			return Frame{}, err
		}
	}
	if w.Crashes != nil {
		if err := w.Crashes.Check(); err != nil {
			return Frame{}, err
		}
	}
	if err := c.offers(w, &f); err != nil {
		return Frame{}, err
	}
	for _, g := range w.Grants {
		class, err := c.known("grant", g.Class)
		if err != nil {
			return Frame{}, err
		}
		f.Grants = append(f.Grants, Grant{Number: g.Number, Class: class})
	}
	if !w.Counters {
		return f, nil
	}
	f.Counters = &Counters{Relay: w.Relay, Caught: w.Caught}
	return f, c.rows(w, f.Counters)
}

func (c *Coder) offers(w wireFrame, f *Frame) error {
	for _, o := range w.Offers {
		class, err := c.known("offer", o.Class)
		if err != nil {
			return err
		}
		if o.Count < 0 || o.Hint < 0 {
			return fmt.Errorf("offer of kind %q of workspace %q is negative", class.Kind, class.Workspace)
		}
		f.Offers = append(f.Offers, scheduler.Offer{
			Class: class, Count: o.Count, Age: time.Duration(o.Age) * time.Millisecond, CostHint: o.Hint, Prefix: o.Prefix,
		})
	}
	for _, o := range w.Singles {
		class, err := c.known("offer", o.Class)
		if err != nil {
			return err
		}
		f.Offers = append(f.Offers, scheduler.Offer{Class: class, Count: 1, Age: time.Duration(o.Age) * time.Millisecond})
	}
	for _, n := range w.Withdrawn {
		class, err := c.known("withdrawal", n)
		if err != nil {
			return err
		}
		f.Offers = append(f.Offers, scheduler.Offer{Class: class})
	}
	return nil
}

// known returns the class with a number that the other side has sent.
func (c *Coder) known(what string, n uint32) (identifier.Class, error) {
	if int(n) >= len(c.received.classes) {
		return identifier.Class{}, fmt.Errorf("%s names class number %d of %d", what, n, len(c.received.classes))
	}
	return c.received.classes[n], nil
}

func (c *Coder) rows(w wireFrame, f *Counters) error {
	for _, r := range w.Rows {
		if int(r.Workspace) >= len(c.received.workspaces) || int(r.Origin) > len(c.received.origins) {
			return fmt.Errorf("counter row names workspace number %d and origin number %d, which were not sent", r.Workspace, r.Origin)
		}
		row := counter.Row{
			Workspace: c.received.workspaces[r.Workspace], Period: r.Period, Base: r.Base, Charged: r.Value, Refunded: r.Refund,
		}
		if r.Origin > 0 {
			row.Origin = c.received.origins[r.Origin-1]
		}
		if err := row.Check(); err != nil {
			return err
		}
		f.Rows = append(f.Rows, row)
	}
	return nil
}

var decMode = newDecMode()

const (
	// maxList bounds the length of any list in a frame.
	maxList = 1 << 16
	// maxNesting bounds how deep a frame nests.
	maxNesting = 16
)

func newDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxList, MaxMapPairs: maxList, MaxNestedLevels: maxNesting}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return m
}

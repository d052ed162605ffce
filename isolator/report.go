package isolator

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"buckthorndrum/identifier"
)

// Part identifies a part of a prompt that other prompts may share.
type Part uint64

// CrashID identifies a crash: the end of one incarnation of one target. Its lower half is
// the target's hash.
type CrashID uint64

// TargetHash is a hash of a target's id.
type TargetHash uint32

// HashTarget returns the hash of a target's id.
func HashTarget(t identifier.Target) TargetHash { return TargetHash(xxhash.Sum64String(string(t))) }

// NewCrashID returns the identifier of the crash of an incarnation of a target.
func NewCrashID(t TargetHash, incarnation uint32) CrashID {
	return CrashID(incarnation)<<32 | CrashID(t)
}

// target returns the hash of the target that crashed.
func (c CrashID) target() TargetHash { return TargetHash(c) }

// Rank identifies a router among its peers. A router without a rank, which is zero, has none.
type Rank uint32

// HashRouter returns the rank of a router, which is a hash of its name.
func HashRouter(r identifier.Router) Rank { return Rank(xxhash.Sum64String(string(r))) | 1 }

// WorkspaceHash is a hash of a workspace's name. Reports carry it to save space.
type WorkspaceHash uint32

// HashWorkspace returns the hash of a workspace's name.
func HashWorkspace(w identifier.Workspace) WorkspaceHash {
	return WorkspaceHash(xxhash.Sum64String(string(w)))
}

const (
	// maxCrashes bounds the crashes that are remembered and reported. The oldest are
	// dropped first.
	maxCrashes = 16
	// maxSuspects bounds the suspects of one crash.
	maxSuspects = 64
	// maxReported bounds the suspects of all crashes in one report, and the answered
	// parts in it.
	maxReported = 192
	// maxTried bounds the undecided parts in one report.
	maxTried = 64
	// maxWorkspaces bounds the workspaces of a suspect. A part that requests of so many
	// workspaces carry is blocked for all.
	maxWorkspaces = 3
)

// Suspect is a part of a prompt that was running at a target when it crashed.
type Suspect struct {
	_    struct{} `cbor:",toarray"`
	Part Part
	// Depth is the position of the part in the prompt, zero for the first.
	Depth int
	// Trial is whether a request with the part was run there apart from others.
	Trial bool
	// Workspaces are those whose requests carried the part, sorted, at most
	// maxWorkspaces.
	Workspaces []WorkspaceHash
}

// merge adds the workspaces of another report of the same suspect.
func (s Suspect) merge(t Suspect) Suspect {
	s.Depth, s.Trial = max(s.Depth, t.Depth), s.Trial || t.Trial
	list := append(append([]WorkspaceHash(nil), s.Workspaces...), t.Workspaces...)
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	s.Workspaces = list[:0]
	for i, w := range list {
		if (i == 0 || w != list[i-1]) && len(s.Workspaces) < maxWorkspaces {
			s.Workspaces = append(s.Workspaces, w)
		}
	}
	return s
}

// CrashReport is what routers know about one crash.
type CrashReport struct {
	_ struct{} `cbor:",toarray"`
	// Age is the time since the crash was noticed.
	Age time.Duration
	// Suspects are the parts that were running, without those that had just been answered
	// in other requests.
	Suspects []Suspect
}

// Report is what one or more routers know about crashes and the parts that were running
// then. A decoded report must be checked.
type Report struct {
	Crashes map[CrashID]CrashReport `cbor:"1,keyasint,omitempty"`
	// Answered holds, for suspects, the time since the last complete answer to a request
	// with the part.
	Answered map[Part]time.Duration `cbor:"2,keyasint,omitempty"`
	// Trying holds the first candidates for trials of undecided parts.
	Trying map[Part]Candidate `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether the report holds nothing.
func (r Report) Empty() bool {
	return len(r.Crashes) == 0 && len(r.Answered) == 0 && len(r.Trying) == 0
}

// Check returns an error if a decoded report is not well formed or exceeds its bounds.
func (r Report) Check() error {
	if len(r.Crashes) > maxCrashes || len(r.Answered) > maxReported || len(r.Trying) > maxTried {
		return errors.Errorf("report has %d crashes, %d answered and %d undecided parts, at most %d, %d and %d are allowed", len(r.Crashes), len(r.Answered), len(r.Trying), maxCrashes, maxReported, maxTried)
	}
	for id, c := range r.Crashes {
		if c.Age < 0 || len(c.Suspects) > maxSuspects {
			return errors.Errorf("report of crash %x has age %s and %d suspects", uint64(id), c.Age, len(c.Suspects))
		}
		for _, s := range c.Suspects {
			if s.Depth < 0 || len(s.Workspaces) > maxWorkspaces {
				return errors.Errorf("suspect %x has depth %d and %d workspaces", uint64(s.Part), s.Depth, len(s.Workspaces))
			}
		}
	}
	for p, age := range r.Answered {
		if age < 0 {
			return errors.Errorf("answer to part %x has a negative age", uint64(p))
		}
	}
	for p, c := range r.Trying {
		if c.Age < 0 {
			return errors.Errorf("candidate for part %x has a negative age", uint64(p))
		}
	}
	return nil
}

// Aged returns the report with all ages increased by d. A negative d counts as zero.
func (r Report) Aged(d time.Duration) Report {
	d = max(0, d)
	aged := Report{}
	aged.Add(r)
	for id, c := range aged.Crashes {
		c.Age += d
		aged.Crashes[id] = c
	}
	for p, age := range aged.Answered {
		aged.Answered[p] = age + d
	}
	for p, c := range aged.Trying {
		c.Age += d
		aged.Trying[p] = c
	}
	return aged
}

// Add merges another report into r, within the bounds of a report.
func (r *Report) Add(t Report) {
	if len(t.Crashes) > 0 && r.Crashes == nil {
		r.Crashes = make(map[CrashID]CrashReport, len(t.Crashes))
	}
	for id, c := range t.Crashes {
		r.Crashes[id] = r.Crashes[id].merge(c)
	}
	for len(r.Crashes) > maxCrashes {
		delete(r.Crashes, r.oldestCrash())
	}
	if len(t.Answered) > 0 && r.Answered == nil {
		r.Answered = make(map[Part]time.Duration, len(t.Answered))
	}
	for p, age := range t.Answered {
		if old, known := r.Answered[p]; known && old <= age || !known && len(r.Answered) >= maxReported {
			continue
		}
		r.Answered[p] = age
	}
	r.addTrying(t.Trying)
}

// addTrying merges the first candidates, within the bounds of a report.
func (r *Report) addTrying(trying map[Part]Candidate) {
	if len(trying) > 0 && r.Trying == nil {
		r.Trying = make(map[Part]Candidate, len(trying))
	}
	for p, c := range trying {
		if old, known := r.Trying[p]; known && old.before(c) || !known && len(r.Trying) >= maxTried {
			continue
		}
		r.Trying[p] = c
	}
}

// merge returns a report of the same crash with the suspects of both. The earlier
// notice counts.
func (c CrashReport) merge(d CrashReport) CrashReport {
	merged := CrashReport{Age: max(c.Age, d.Age), Suspects: append([]Suspect(nil), c.Suspects...)}
	index := make(map[Part]int, len(merged.Suspects))
	for i, s := range merged.Suspects {
		index[s.Part] = i
	}
	for _, s := range d.Suspects {
		if i, known := index[s.Part]; known {
			merged.Suspects[i] = merged.Suspects[i].merge(s)
		} else if len(merged.Suspects) < maxSuspects {
			index[s.Part] = len(merged.Suspects)
			merged.Suspects = append(merged.Suspects, s)
		}
	}
	return merged
}

func (r Report) oldestCrash() CrashID {
	var oldest CrashID
	age := time.Duration(-1)
	for id, c := range r.Crashes {
		if c.Age > age || c.Age == age && id < oldest {
			oldest, age = id, c.Age
		}
	}
	return oldest
}

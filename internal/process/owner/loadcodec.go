package owner

import (
	"bytes"
	"encoding/binary"

	"github.com/rotisserie/eris"

	"persimmonwing/internal/process/schedule"
)

// errInvalidLoads is returned for encoded loads that are truncated or malformed.
var errInvalidLoads = eris.New("encoded loads are invalid")

// encodeLoads encodes the loads of a gateway without reports and broken connections, as
// varints and strings with their length. A relay encodes the loads of a gateway once and
// sends the bytes to all its followers: with gob, which encodes them for each of 20
// followers anew, relays with a fifth of a core answered callers 100 ms late.
func encodeLoads(a *LoadsArgs) []byte {
	var e loadEncoder
	e.text(a.Gateway)
	e.number(a.Incarnation)
	e.number(int64(a.Number))
	e.number(int64(len(a.Groups)))
	for _, g := range a.Groups {
		e.group(g.Group)
		e.number(int64(len(g.Loads)))
		for i := range g.Loads {
			l := &g.Loads[i]
			e.text(l.Replica)
			e.number(int64(l.Running))
			e.number(int64(l.Unread))
			e.number(int64(l.Yielding))
			for h := range l.Memory.Mean {
				e.number(l.Memory.Mean[h])
				e.number(l.Memory.Variance[h])
				e.number(l.Memory.Most[h])
			}
		}
	}
	return e
}

// sameLoads reports whether two encodings of one gateway's loads differ in their numbers at most.
func sameLoads(a, b []byte) bool {
	return bytes.Equal(withoutNumber(a), withoutNumber(b))
}

// withoutNumber returns the part of encoded loads after the number of the message.
func withoutNumber(encoded []byte) []byte {
	d := loadDecoder{left: encoded}
	d.text()
	d.number()
	d.number()
	return d.left
}

// GroupUse is what a gateway has granted recently in one group.
type GroupUse struct {
	Group schedule.GroupKey
	Use   schedule.Use
}

// maxUseNumber bounds the numbers of a use, so that those of a faulty peer can't overflow a sum.
const maxUseNumber = 1 << 40

// encodeUses encodes what a gateway has granted recently. It is not a part of encodeLoads, because its
// numbers change all the time, and gateways that don't know it refuse loads with more bytes.
func encodeUses(uses []GroupUse) []byte {
	if len(uses) == 0 {
		return nil
	}
	var e loadEncoder
	e.number(int64(len(uses)))
	for _, g := range uses {
		e.group(g.Group)
		e.number(g.Use.Tokens)
		e.number(g.Use.WithinShare)
		e.number(g.Use.Waiting)
		e.number(int64(len(g.Use.Workspaces)))
		for _, w := range g.Use.Workspaces {
			e.text(w.Workspace)
			e.number(w.Tokens)
			e.number(w.Weight)
		}
	}
	return e
}

// decodeUses is the inverse of encodeUses.
func decodeUses(b []byte) ([]GroupUse, error) {
	d := loadDecoder{left: b}
	var out []GroupUse
	for range d.count() {
		g := GroupUse{Group: d.group(), Use: schedule.Use{Tokens: d.amount(), WithinShare: d.amount(), Waiting: d.amount()}}
		for range d.count() {
			w := schedule.WorkspaceUse{Workspace: d.text(), Tokens: d.amount(), Weight: d.amount()}
			if d.failed {
				return nil, errInvalidLoads
			}
			g.Use.Workspaces = append(g.Use.Workspaces, w)
		}
		out = append(out, g)
	}
	if d.failed || len(d.left) > 0 {
		return nil, errInvalidLoads
	}
	return out, nil
}

// loadEncoder holds the bytes encoded so far.
type loadEncoder []byte

func (e *loadEncoder) number(n int64) { *e = binary.AppendVarint(*e, n) }

func (e *loadEncoder) text(s string) {
	e.number(int64(len(s)))
	*e = append(*e, s...)
}

func (e *loadEncoder) group(k schedule.GroupKey) {
	e.text(k.DataCentre)
	e.text(k.Model)
	e.number(int64(k.Shard))
}

// decodeLoads is the inverse of encodeLoads.
func decodeLoads(b []byte) (LoadsArgs, error) {
	d := loadDecoder{left: b}
	a := LoadsArgs{Gateway: d.text(), Incarnation: d.number(), Number: uint64(d.number())}
	for range d.count() {
		g := GroupLoads{Group: d.group()}
		for range d.count() {
			l := schedule.ReplicaLoad{Replica: d.text(), Running: int(d.number()), Unread: int(d.number()), Yielding: int(d.number())}
			for h := range l.Memory.Mean {
				l.Memory.Mean[h], l.Memory.Variance[h], l.Memory.Most[h] = d.number(), d.number(), d.number()
			}
			if d.failed {
				return LoadsArgs{}, errInvalidLoads
			}
			g.Loads = append(g.Loads, l)
		}
		a.Groups = append(a.Groups, g)
	}
	if d.failed || len(d.left) > 0 {
		return LoadsArgs{}, errInvalidLoads
	}
	return a, nil
}

// loadDecoder holds the bytes to decode. failed is set once they are invalid.
type loadDecoder struct {
	left   []byte
	failed bool
}

func (d *loadDecoder) number() int64 {
	n, size := binary.Varint(d.left)
	if size <= 0 {
		d.failed, d.left = true, nil
		return 0
	}
	d.left = d.left[size:]
	return n
}

// amount returns a number of 0 to maxUseNumber.
func (d *loadDecoder) amount() int64 {
	n := d.number()
	if n < 0 || n > maxUseNumber {
		d.failed, d.left = true, nil
		return 0
	}
	return n
}

func (d *loadDecoder) group() schedule.GroupKey {
	return schedule.GroupKey{DataCentre: d.text(), Model: d.text(), Shard: int(d.number())}
}

// count returns a number of elements, each of which takes at least one byte.
func (d *loadDecoder) count() int {
	n := d.number()
	if n < 0 || n > int64(len(d.left)) {
		d.failed, d.left = true, nil
		return 0
	}
	return int(n)
}

func (d *loadDecoder) text() string {
	n := d.count()
	s := string(d.left[:n])
	d.left = d.left[n:]
	return s
}

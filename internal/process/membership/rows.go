package membership

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// summaryRows has a gob form without field numbers and with plain integers as
// varints, because rows are the largest part of a message.
type summaryRows []summaryRow

// rowInts is the number of varints of a row, after two ids of 4 bytes.
const rowInts = 8

// ints returns pointers to the integers of a row in wire order.
func (r *summaryRow) ints() [rowInts]any {
	return [rowInts]any{&r.Version, &r.AgeMS, &r.Replicas, &r.Free, &r.Urgent, &r.Background, &r.UrgentMS, &r.BackgroundWaitMS}
}

// GobEncode implements gob.GobEncoder.
func (rows summaryRows) GobEncode() ([]byte, error) {
	var b []byte
	for i := range rows {
		b = binary.LittleEndian.AppendUint32(b, rows[i].Group)
		b = binary.LittleEndian.AppendUint32(b, rows[i].Owner)
		for _, p := range rows[i].ints() {
			switch v := p.(type) {
			case *int64:
				b = binary.AppendUvarint(b, uint64(*v))
			case *uint32:
				b = binary.AppendUvarint(b, uint64(*v))
			case *int:
				b = binary.AppendUvarint(b, uint64(*v))
			}
		}
	}
	return b, nil
}

// errRows is returned for rows that end early or hold a number out of range.
var errRows = eris.New("summary rows are malformed")

// GobDecode implements gob.GobDecoder.
func (rows *summaryRows) GobDecode(b []byte) error {
	*rows = nil
	for len(b) > 0 {
		var r summaryRow
		if len(b) < 8 {
			return errRows
		}
		r.Group, r.Owner = binary.LittleEndian.Uint32(b), binary.LittleEndian.Uint32(b[4:])
		b = b[8:]
		for _, p := range r.ints() {
			u, n := binary.Uvarint(b)
			if n <= 0 {
				return errRows
			}
			b = b[n:]
			switch v := p.(type) {
			case *int64:
				*v = int64(u)
			case *uint32:
				*v = uint32(u)
			case *int:
				*v = int(u)
			}
		}
		*rows = append(*rows, r)
	}
	return nil
}

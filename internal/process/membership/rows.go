package membership

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// summaryRows has a custom gob encoding without field numbers and with integers as
// varints, because rows are the largest part of a message.
type summaryRows []summaryRow

// rowInts is the number of varints at the end of a row. They follow two IDs of 4 bytes
// each and the difference between the highest version, which precedes all rows, and the
// version of this row.
const rowInts = 7

// ints returns pointers to the varint fields of a row in wire order.
func (r *summaryRow) ints() [rowInts]any {
	return [rowInts]any{&r.AgeMS, &r.Replicas, &r.Free, &r.Urgent, &r.Background, &r.UrgentMS, &r.BackgroundWaitMS}
}

// GobEncode implements gob.GobEncoder.
func (rows summaryRows) GobEncode() ([]byte, error) {
	if len(rows) == 0 {
		return nil, nil
	}
	highest := rows[0].Version
	for _, r := range rows {
		highest = max(highest, r.Version)
	}
	b := binary.AppendUvarint(nil, uint64(highest))
	for i := range rows {
		b = binary.LittleEndian.AppendUint32(b, rows[i].Group)
		b = binary.LittleEndian.AppendUint32(b, rows[i].Owner)
		b = binary.AppendUvarint(b, uint64(highest-rows[i].Version))
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

// errRows is returned for rows that are truncated or contain an invalid varint.
var errRows = eris.New("summary rows are malformed")

// GobDecode implements gob.GobDecoder.
func (rows *summaryRows) GobDecode(b []byte) error {
	*rows = nil
	if len(b) == 0 {
		return nil
	}
	highest, n := binary.Uvarint(b)
	if n <= 0 {
		return errRows
	}
	for b = b[n:]; len(b) > 0; {
		var r summaryRow
		if len(b) < 8 {
			return errRows
		}
		r.Group, r.Owner = binary.LittleEndian.Uint32(b), binary.LittleEndian.Uint32(b[4:])
		b = b[8:]
		below, n := binary.Uvarint(b)
		if n <= 0 {
			return errRows
		}
		r.Version = int64(highest - below)
		b = b[n:]
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

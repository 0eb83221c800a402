package storefeed

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// packAbove is the size of the values of a reply in bytes above which its rows are packed. Entries of
	// servers are alike, so that thousands of them take a tenth of their size. A few rows take longer to pack than to send.
	packAbove = 16 << 10
	// maxUnpacked bounds the unpacked rows of a reply in bytes. The list of 3,000 servers takes about 1 MB.
	maxUnpacked = 32 << 20
)

var errInvalidPack = eris.New("packed rows are invalid")

// packRows returns the rows compressed, each as key, value, revision and tombstone.
func packRows(rows []Row) ([]byte, error) {
	var plain []byte
	for _, r := range rows {
		plain = binary.AppendUvarint(plain, uint64(len(r.Key)))
		plain = append(plain, r.Key...)
		plain = binary.AppendUvarint(plain, uint64(len(r.Value)))
		plain = append(plain, r.Value...)
		plain = binary.AppendVarint(plain, r.Revision)
		tombstone := byte(0)
		if r.Tombstone {
			tombstone = 1
		}
		plain = append(plain, tombstone)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// unpackRows is the inverse of packRows.
func unpackRows(packed []byte) ([]Row, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked+1))
	if err != nil {
		return nil, eris.Wrap(err, "unpack rows")
	}
	if len(plain) > maxUnpacked {
		return nil, errInvalidPack
	}
	in := bytes.NewReader(plain)
	var rows []Row
	for in.Len() > 0 {
		key, err := readBytes(in)
		if err != nil {
			return nil, err
		}
		value, err := readBytes(in)
		if err != nil {
			return nil, err
		}
		revision, err := binary.ReadVarint(in)
		if err != nil {
			return nil, errInvalidPack
		}
		tombstone, err := in.ReadByte()
		if err != nil || tombstone > 1 {
			return nil, errInvalidPack
		}
		rows = append(rows, Row{Key: string(key), Value: value, Revision: revision, Tombstone: tombstone == 1})
	}
	return rows, nil
}

// readBytes reads bytes that follow their length.
func readBytes(in *bytes.Reader) ([]byte, error) {
	n, err := binary.ReadUvarint(in)
	if err != nil || n > uint64(in.Len()) {
		return nil, errInvalidPack
	}
	out := make([]byte, n)
	_, err = io.ReadFull(in, out)
	return out, err
}

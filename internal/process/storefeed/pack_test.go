package storefeed

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func serverRows(n int) []Row {
	var rows []Row
	for i := range n {
		rows = append(rows, Row{Key: fmt.Sprintf("i-%08x", i*2654435761), Revision: int64(i + 1), Value: fmt.Appendf(nil,
			`{"service":"m","addr":"10.1.%d.%d:8700","zone":"hobart","slots":24,"state":"ready","seq":%d,"born":17%011d,"models":[{"name":"m"}]}`, i/250, i%250, i, i*7919)})
	}
	return rows
}

// Guards against a list whose copies take more than the link of a reader: 32 followers that start together read
// the list of 3,000 servers from it.
func TestLargeCopiesArePacked(t *testing.T) {
	is := is.New(t)
	c := NewCopies(nil, nil, nil)
	rows := append(serverRows(3000), Row{Key: "gone", Revision: 3001, Tombstone: true})
	c.update("servers", result{Rows: Rows{Rows: rows, Revision: 3001}, whole: true, confirmedAt: time.Second})
	var plain, packed, changes Reply
	c.read(&Args{Table: "servers", Since: needsList}, &plain)
	is.Equal(len(plain.Rows), 3000) // followers of an older build
	_, done := c.read(&Args{Table: "servers", Since: needsList, Packs: true}, &packed)
	is.True(done)
	is.Equal(len(packed.Rows), 0)
	is.True(len(packed.Packed) < 3000*40)
	got, err := unpackRows(packed.Packed)
	is.NoErr(err)
	is.Equal(got, plain.Rows)
	c.update("servers", result{Rows: Rows{Rows: []Row{{Key: "new", Value: []byte("{}"), Revision: 3002}}, Revision: 3002}})
	c.read(&Args{Table: "servers", Since: 3001, Packs: true}, &changes)
	is.Equal(len(changes.Rows), 1) // a small reply is not packed
	c.read(&Args{Table: "servers", Since: needsList, Packs: true}, &packed)
	got, err = unpackRows(packed.Packed)
	is.NoErr(err)
	is.Equal(len(got), 3001) // not that of the revision before
}

// Guards against rows that are read wrongly, or memory without bound, from a reply that is cut off or malformed.
func TestMalformedPacksAreRefused(t *testing.T) {
	is := is.New(t)
	packed, err := packRows(serverRows(3))
	is.NoErr(err)
	for n := range packed {
		_, err := unpackRows(packed[:n])
		is.True(err != nil)
	}
	large, err := packRows([]Row{{Key: "k", Value: make([]byte, maxUnpacked+1)}})
	is.NoErr(err)
	_, err = unpackRows(large)
	is.True(err != nil)
}

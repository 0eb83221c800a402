package membership

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func drawRows(t *rapid.T) summaryRows {
	return rapid.SliceOf(rapid.Custom(func(t *rapid.T) summaryRow {
		n := rapid.IntRange(0, 1<<40)
		return summaryRow{
			Group: rapid.Uint32().Draw(t, "group"), Owner: rapid.Uint32().Draw(t, "owner"),
			Version: rapid.Int64().Draw(t, "version"), AgeMS: rapid.Uint32().Draw(t, "age"),
			Replicas: n.Draw(t, "replicas"), Free: n.Draw(t, "free"), Urgent: n.Draw(t, "urgent"), Background: n.Draw(t, "background"),
			UrgentMS: rapid.Int64().Draw(t, "urgentMS"), BackgroundWaitMS: rapid.Int64().Draw(t, "backgroundMS"),
		}
	})).Draw(t, "rows")
}

// Guards against summaries that are decoded to other values than were sent, and against
// rows of one message that remain in the next message on the same connection.
func TestRowsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b bytes.Buffer
		enc, dec := gob.NewEncoder(&b), gob.NewDecoder(&b)
		for range 2 {
			sent, got := Message{Rows: drawRows(t)}, Message{}
			if err := enc.Encode(sent); err != nil {
				t.Fatal(err)
			}
			if err := dec.Decode(&got); err != nil {
				t.Fatal(err)
			}
			if len(sent.Rows)+len(got.Rows) > 0 && !cmp.Equal(sent.Rows, got.Rows) {
				t.Fatal(cmp.Diff(sent.Rows, got.Rows))
			}
		}
	})
}

// Guards against a panic, or silently losing rows, when a peer sends malformed rows.
func TestMalformedRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, err := append(drawRows(t), summaryRow{Group: 1}).GobEncode()
		if err != nil {
			t.Fatal(err)
		}
		var rows summaryRows
		if rows.GobDecode(whole[:len(whole)-rapid.IntRange(1, 15).Draw(t, "cut")]) == nil {
			t.Fatal("truncated rows were accepted")
		}
	})
}

package operator

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// The output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// print writes value as JSON, or header and rows as a table, depending on -output.
func (c *command) print(value any, header []string, rows [][]string) error {
	if c.output == outputJSON {
		enc := json.NewEncoder(c.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(c.Stdout, 0, 0, 2, ' ', 0)
	if len(header) > 0 {
		fmt.Fprintln(w, strings.Join(header, "\t"))
	}
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}

package gateway

import (
	"net/http"
	"time"

	"persimmonwing/internal/process/adminapi"
)

// usage serves GET /usage: the current use of the limits by each workspace.
func (g *Gateway) usage(w http.ResponseWriter, _ *http.Request) {
	list := []adminapi.Usage{}
	if s := g.catalogue.Current(); s != nil {
		now := time.Now()
		for _, workspace := range s.Workspaces {
			u := g.limits.Use(now, workspace.Name)
			list = append(list, adminapi.Usage{
				Workspace: workspace.Name, RequestsPerSecond: u.RequestsPerSecond,
				TokensPerSecond: u.TokensPerSecond, Concurrent: u.Concurrent,
			})
		}
	}
	writeJSON(w, http.StatusOK, list)
}

package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/process/standin/app"
	standin "persimmonwing/internal/process/standin/engine"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/explain"
)

const secretText = "the-text-of-a-letter"

// Guards against prompts, bodies and queries of calls and API keys in the log at debug
// level, and against lines about a request without its id.
func TestLogHoldsNoSecrets(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, nil)
	generate := func(input string) response { return w.send(w.create("plan", secretText+input, true)) }
	is.Equal(generate("#tokens=3").status, http.StatusOK)
	for _, body := range []string{`{"model":"plan","input":"` + secretText, `{"model":"plan","input":["` + secretText + `"]}`, secretText,
		`{"model":"` + secretText + `","input":"x"}`, createBody("plan", `,"max_output_tokens":"`+secretText+`"`)} {
		w.send(w.request(http.MethodPost, responses, keyA, body))
	}
	w.send(w.request(http.MethodPost, responses, keyA+secretText, secretText))
	w.send(w.request(http.MethodGet, "/v1/"+secretText, keyA, ""))
	w.send(w.request(http.MethodGet, responses+"/"+secretText+"?stream=true&starting_after="+secretText, keyA, ""))
	timed := w.create("plan", secretText, false)
	timed.Header.Set(headerRequestTimeout, secretText)
	w.send(timed)
	for _, faults := range []standin.Faults{{Refuse: true}, {ErrorAfterAccept: true}} {
		w.engines[0].SetFaults(faults)
		w.engines[1].SetFaults(faults)
		is.True(generate("#tokens=3").status != http.StatusOK)
	}
	appFaults(app.Faults{ResetAfter: -1})(t, w)
	for _, entry := range []string{"booking", "stock"} {
		r := w.request(http.MethodPost, "/v1/services/"+entry+"/"+secretText+"?note="+secretText, keyA, secretText)
		r.Header.Set(headerIdempotencyKey, "x"+secretText)
		is.True(w.send(r).status >= http.StatusInternalServerError)
	}
	w.kill(0)
	w.kill(1)
	is.True(generate("#tokens=3").status != http.StatusOK)
	w.waitIdle()

	text := w.logs.String()
	lines := strings.Split(strings.TrimSpace(text), "\n")
	is.True(len(lines) > 12)
	for _, line := range lines {
		for _, secret := range []string{secretText, keyA, keyB} {
			if strings.Contains(line, secret) {
				t.Errorf("the log contains %q: %s", secret, line)
			}
		}
		if strings.Contains(line, "request ") && !strings.Contains(line, "request=req_") {
			t.Errorf("log line without a request id: %s", line)
		}
		is.True(strings.Contains(line, "part=gateway"))
	}
}

func (w *harness) explain(id string) explain.View {
	w.t.Helper()
	resp, err := w.client.Get(w.admin + "/explain/" + id)
	w.noErr(err)
	defer resp.Body.Close()
	var v explain.View
	w.noErr(json.NewDecoder(resp.Body).Decode(&v))
	return v
}

// Guards against an explain record that does not show why a request was sent to a
// replica, or that contains the prompt.
func TestExplainRecordsDecisions(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, nil)
	w.engines[0].SetFaults(standin.Faults{Refuse: true})
	a := w.send(w.create("plan", secretText+" #tokens=3", true))
	v := w.explain(a.header.Get(headerRequestID))
	var path []string
	for _, s := range v.Steps {
		path = append(path, s.Name+" "+s.Peer)
		is.True(!strings.Contains(s.Detail, secretText))
	}
	is.Equal(path, []string{"granted engine-1", "retry engine-1", "granted engine-2", "finished engine-2"})
	is.True(strings.Contains(v.Steps[0].Detail, "least_load"))
	is.Equal(v.Steps[1].Detail, "engine_refused")
	is.Equal([]string{v.Workspace, v.Entry, v.Class, v.Outcome}, []string{"a", "plan", "urgent", "answered"})
	refused := w.send(w.create("invented", secretText, false))
	is.Equal(w.explain(refused.err.RequestID).Outcome, "unknown_entry (not_run) at entry")
}

// Guards against callers that can grow the metrics registry by sending arbitrary names.
func TestUnknownNamesCreateNoMetrics(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, nil)
	metrics := func() map[string]json.RawMessage {
		resp, err := w.client.Get(w.admin + "/metrics")
		is.NoErr(err)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.True(!strings.Contains(string(body), "invented"))
		all := map[string]json.RawMessage{}
		is.NoErr(json.Unmarshal(body, &all))
		return all
	}
	invent := func(name string) {
		w.send(w.create("invented-"+name, "x", false))
		w.send(w.service(http.MethodPost, "invented-"+name, "x"))
		w.send(w.request("INVENTED"+name, responses, keyA, ""))
		w.send(w.request(http.MethodPost, "/v1/invented-"+name, keyA, ""))
		w.send(w.request(http.MethodPost, responses, "invented-"+name, createBody("plan", "")))
		w.send(w.create("plan", "#tokens=2 invented-"+name, false))
	}
	invent("first")
	before := metrics()
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		invent(name)
	}
	for name := range metrics() {
		// A stream that stalls under load is resumed, which is counted.
		if _, known := before[name]; !known && name != "links_resumed" {
			t.Errorf("metric %q exists only since requests with unknown names", name)
		}
	}
	var none api.Error
	is.Equal(w.send(w.create("plan", "#tokens=2", false)).err, none)
}

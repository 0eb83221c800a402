package platform_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/platform"
)

// Guards against a gateway that stops following the host list because of one odd host in it, and
// against using that host.
func TestOddHostsLeaveTheOthersInUse(t *testing.T) {
	host := func(name, target string) string {
		return fmt.Sprintf(`{"targets":[%q],"labels":{"name":%q,"kind":"app","data_centre":"dc","state":"live","service":"shop"}}`, target, name)
	}
	for name, odd := range map[string]string{
		"nested too deep":         strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
		"a label nested too deep": `{"targets":["10.0.0.1:1"],"labels":{"name":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}}`,
		"number too large":        `{"targets":[1e999],"labels":{}}`,
		"port out of range":       host("odd", "10.0.0.1:70000"),
		"port 0":                  host("odd", "10.0.0.1:0"),
		"no port":                 host("odd", "10.0.0.1"),
		"two targets":             `{"targets":["10.0.0.1:1","10.0.0.2:1"],"labels":{"name":"odd","kind":"app","state":"live"}}`,
		"no name":                 host("", "10.0.0.1:1"),
		"line end in the name":    host("odd\r\nX: 1", "10.0.0.1:1"),
		"kind not known":          `{"targets":["10.0.0.1:1"],"labels":{"name":"odd","kind":"cache","state":"live"}}`,
		"text":                    `"] [ \" , {"`,
		"null":                    `null`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprintf(w, " [%s,\n%s, %s]\n", host("first", "10.0.0.3:80"), odd, host("last", "app.example:80"))
			}))
			defer server.Close()
			l := platform.NewHostList(server.URL, http.DefaultClient, timeout)
			reports := 0
			l.ObserveInvalid(func(err error) { reports++ })
			for range 3 {
				hosts, err := l.Hosts(t.Context())
				is.NoErr(err)
				is.Equal(len(hosts), 2)
				is.Equal(hosts[0].Name+" "+hosts[1].Name, "first last")
			}
			is.Equal(reports, 1)
		})
	}
	for _, list := range []string{"", "{}", "[", "[}", `["`, `[]]`, "null"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, list) }))
		_, err := platform.NewHostList(server.URL, http.DefaultClient, timeout).Hosts(t.Context())
		server.Close()
		if err == nil {
			t.Errorf("list %q was read", list)
		}
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, " [ ] ") }))
	defer server.Close()
	hosts, err := platform.NewHostList(server.URL, http.DefaultClient, timeout).Hosts(t.Context())
	if err != nil || len(hosts) != 0 {
		t.Errorf("empty list: %v, %v", hosts, err)
	}
}

package platform_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/engine"
	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/connection/responsecheck/responsechecktest"
)

// gatewayHTTP returns a client with the transport that gateways use.
func gatewayHTTP(t *testing.T) *http.Client {
	transport := engine.NewTransport()
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// Guards against a transaction that counts as applied or as refused because the table's response is cut off
// while the transaction is still being written.
func TestResetDuringUpload(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	whole := `{"header":{"revision":"7"},"succeeded":true,"responses":[{"response_txn":{"succeeded":true}}]}`
	ops := []platform.CondPut{{Key: "k", Value: make([]byte, responsechecktest.UploadBytes)}}
	txn := func(script responsechecktest.Script) error {
		address := responsechecktest.Serve(t, script)
		_, err := platform.NewTable("http://"+address, gatewayHTTP(t), timeout).Txn(t.Context(), ops)
		return err
	}
	is.NoErr(txn(responsechecktest.Once(responsechecktest.Always(head + whole))))
	for _, cut := range []int{1, len(whole) / 2, len(whole) - 1} {
		script := responsechecktest.Early(responsechecktest.Always(head+whole[:cut]), responsechecktest.Reset)
		for range 6 {
			is.True(errors.Is(txn(script), platform.ErrUnknownOutcome))
		}
	}
}

// requireBroken requires errors of the clients of the platform's services if these answer raw.
func requireBroken(t *testing.T, raw string) {
	t.Helper()
	address := "http://" + responsechecktest.Serve(t, responsechecktest.Once(responsechecktest.Always(raw)))
	client := gatewayHTTP(t)
	if row, err := platform.NewTable(address, client, timeout).Get(t.Context(), "k"); err == nil || errors.Is(err, platform.ErrNotFound) {
		t.Errorf("a row was read: %+v, %v", row, err)
	}
	objects := platform.NewObjects(address, client, timeout)
	if body, err := objects.Get(t.Context(), "b", "k"); err == nil || errors.Is(err, platform.ErrNotFound) {
		t.Errorf("an object was read: %q, %v", body, err)
	}
	if err := objects.Put(t.Context(), "b", "k", []byte("object")); !errors.Is(err, platform.ErrUnknownOutcome) {
		t.Errorf("a write has the error %v", err)
	}
	if hosts, err := platform.NewHostList(address, client, timeout).Hosts(t.Context()); err == nil {
		t.Errorf("hosts were read: %+v", hosts)
	}
}

// Guards against a response with an invalid status that counts as an answer of the platform.
func TestInvalidStatuses(t *testing.T) {
	for name, raw := range responsechecktest.InvalidStatuses("", responsechecktest.Whole("", "[]")) {
		t.Run(name, func(t *testing.T) { requireBroken(t, raw) })
	}
}

// Guards against a response with a broken line in its head that counts as an answer of the platform.
func TestInvalidNames(t *testing.T) {
	for name, raw := range responsechecktest.InvalidNames("200 OK", "ETag: x\r\n", "[]") {
		t.Run(name, func(t *testing.T) { requireBroken(t, raw) })
	}
}

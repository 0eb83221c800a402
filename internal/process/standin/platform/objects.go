package platform

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/gorilla/mux"
)

// maxObjectBytes is the maximum size of an object.
const maxObjectBytes = 64 << 20

// objects is an in-memory object store.
type objects struct {
	mu   sync.Mutex
	body map[string][]byte
}

func newObjects() *objects { return &objects{body: map[string][]byte{}} }

// objectName returns the map key of the object in the request's path. Bucket and
// key can be joined by a slash, because a bucket name has none.
func objectName(r *http.Request) string {
	v := mux.Vars(r)
	return v["bucket"] + "/" + v["key"]
}

func (o *objects) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	name := objectName(r)
	if _, exists := o.body[name]; exists && r.Header.Get("If-None-Match") == "*" {
		http.Error(w, "PreconditionFailed", http.StatusPreconditionFailed)
		return
	}
	o.body[name] = body
	w.WriteHeader(http.StatusOK)
}

// get handles GET and HEAD.
func (o *objects) get(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	body, ok := o.body[objectName(r)]
	o.mu.Unlock()
	if !ok {
		http.Error(w, "NoSuchKey", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	if r.Method != http.MethodHead {
		_, _ = w.Write(body)
	}
}

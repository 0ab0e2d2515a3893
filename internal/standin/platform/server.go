// Package platform is an in-memory fake of the platform's object service for tests
// and trials: versions, conditional updates and watches over HTTP, with fault
// injection.
//
// # Usage
//
//	s := platform.NewServer()
//	go http.Serve(listener, s)
//	s.SetFaults(platform.Faults{Down: true})
package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

const (
	apiPath = "/apis/wagtailtray/v1/"
	// maxObjectSize is the largest object that the service accepts, in bytes.
	maxObjectSize = 1 << 20
	// maxLoggedEvents is how many past events a watch can start from.
	maxLoggedEvents = 1024
	// maxQueuedEvents bounds the events queued for a slow watcher. When the queue
	// is full the watch ends and the watcher has to list again.
	maxQueuedEvents = 256
)

// Faults are the faults that the server injects.
type Faults struct {
	// Down makes every call return 503 and ends the watches.
	Down bool `json:"down"`
	// DelayMillis delays every response.
	DelayMillis int `json:"slow"`
	// LostResponses is the number of writes that take effect but whose
	// connection is then closed without a response.
	LostResponses int `json:"lose"`
}

// Calls counts calls by type.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Waiting uint64 `json:"waiting"`
}

type watcher struct {
	kind   platform.Kind
	events chan platform.Event
}

type loggedEvent struct {
	kind  platform.Kind
	event platform.Event
}

// Server is a fake object service.
type Server struct {
	mu          sync.Mutex
	lastVersion uint64
	objects     map[platform.Kind]map[string]platform.Object
	eventLog    []loggedEvent
	watchers    map[*watcher]bool
	faults      Faults
	calls       Calls
}

// NewServer returns a server without objects.
func NewServer() *Server {
	return &Server{objects: map[platform.Kind]map[string]platform.Object{}, watchers: map[*watcher]bool{}}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		for w := range s.watchers {
			close(w.events)
			delete(s.watchers, w)
		}
	}
}

// Calls returns the counts so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.calls
	c.Waiting = uint64(len(s.watchers))
	return c
}

// ServeHTTP serves the object API, and under /faults and /calls the control API of
// the fake.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/faults":
		s.handleFaults(w, r)
	case r.URL.Path == "/calls":
		writeJSON(w, http.StatusOK, s.Calls())
	case strings.HasPrefix(r.URL.Path, apiPath):
		s.handleAPI(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func (s *Server) handleAPI(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, apiPath), "/")
	switch r.Method {
	case http.MethodGet:
		s.handleGet(w, r, platform.Kind(kind), name)
	case http.MethodPost, http.MethodPut, http.MethodDelete:
		s.handleWrite(w, r, platform.Kind(kind), name)
	default:
		http.Error(w, "method", http.StatusMethodNotAllowed)
	}
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request, kind platform.Kind, name string) {
	if r.URL.Query().Get("watch") != "" {
		s.handleWatch(w, r, kind)
		return
	}
	s.mu.Lock()
	s.calls.Reads++
	o, ok := s.objects[kind][name]
	list := s.list(kind)
	s.mu.Unlock()
	switch {
	case name == "":
		writeJSON(w, http.StatusOK, list)
	case !ok:
		http.Error(w, "not found", http.StatusNotFound)
	default:
		writeJSON(w, http.StatusOK, o)
	}
}

func (s *Server) list(kind platform.Kind) platform.List {
	l := platform.List{Metadata: platform.Metadata{ResourceVersion: s.lastVersion}}
	for _, o := range s.objects[kind] {
		l.Items = append(l.Items, o)
	}
	slices.SortFunc(l.Items, func(a, b platform.Object) int {
		return strings.Compare(a.Metadata.Name, b.Metadata.Name)
	})
	return l
}

func (s *Server) handleWrite(w http.ResponseWriter, r *http.Request, kind platform.Kind, name string) {
	var o platform.Object
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxObjectSize)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	s.calls.Writes++
	out, status := s.apply(r.Method, kind, name, o)
	lose := status < http.StatusBadRequest && s.faults.LostResponses > 0
	if lose {
		s.faults.LostResponses--
	}
	s.mu.Unlock()
	if lose {
		// Closes the connection after the write, without a response.
		panic(http.ErrAbortHandler)
	}
	if status >= http.StatusBadRequest {
		http.Error(w, http.StatusText(status), status)
		return
	}
	writeJSON(w, status, out)
}

func (s *Server) apply(method string, kind platform.Kind, name string, o platform.Object) (platform.Object, int) {
	old, ok := s.objects[kind][name]
	event := platform.Modified
	status := http.StatusOK
	switch {
	case name == "":
		return o, http.StatusBadRequest
	case method == http.MethodPost && ok:
		return o, http.StatusConflict
	case method == http.MethodPost:
		event, status = platform.Added, http.StatusCreated
	case !ok:
		return o, http.StatusNotFound
	case old.Metadata.ResourceVersion != o.Metadata.ResourceVersion:
		return o, http.StatusConflict
	case method == http.MethodDelete:
		event = platform.Deleted
	}
	s.lastVersion++
	o.Metadata = platform.Metadata{Name: name, ResourceVersion: s.lastVersion}
	s.store(kind, o, event)
	return o, status
}

func (s *Server) store(kind platform.Kind, o platform.Object, event platform.EventType) {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]platform.Object{}
	}
	if event == platform.Deleted {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	e := platform.Event{Type: event, Object: o}
	s.eventLog = append(s.eventLog, loggedEvent{kind: kind, event: e})
	if len(s.eventLog) > maxLoggedEvents {
		s.eventLog = s.eventLog[1:]
	}
	for w := range s.watchers {
		if w.kind == kind {
			s.sendEvent(w, e)
		}
	}
}

func (s *Server) sendEvent(w *watcher, e platform.Event) {
	select {
	case w.events <- e:
	default:
		close(w.events)
		delete(s.watchers, w)
	}
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request, kind platform.Kind) {
	after, err := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil {
		http.Error(w, "resourceVersion: "+err.Error(), http.StatusBadRequest)
		return
	}
	subscriber, backlog, ok := s.subscribe(kind, after)
	if !ok {
		http.Error(w, "too old", http.StatusGone)
		return
	}
	defer s.unsubscribe(subscriber)
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	encoder := json.NewEncoder(w)
	for _, e := range backlog {
		_ = encoder.Encode(e)
	}
	flusher.Flush()
	for {
		select {
		case e, ok := <-subscriber.events:
			if !ok || encoder.Encode(e) != nil {
				return
			}
			flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) subscribe(kind platform.Kind, after uint64) (*watcher, []platform.Event, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Watches++
	if len(s.eventLog) == maxLoggedEvents && s.eventLog[0].event.Object.Metadata.ResourceVersion > after+1 {
		return nil, nil, false
	}
	var backlog []platform.Event
	for _, l := range s.eventLog {
		if l.kind == kind && l.event.Object.Metadata.ResourceVersion > after {
			backlog = append(backlog, l.event)
		}
	}
	w := &watcher{kind: kind, events: make(chan platform.Event, maxQueuedEvents)}
	s.watchers[w] = true
	return w, backlog, true
}

func (s *Server) unsubscribe(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, w)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

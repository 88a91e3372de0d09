package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/stand"
)

// crashWord is in the path of the request that crashes each worker that begins to run it, and
// downTime how long a worker is down then. streamEvents is the number of events of a stream.
const (
	crashWord    = "crash"
	downTime     = 2 * time.Second
	streamEvents = 3
)

// arrival is a request that reached a worker.
type arrival struct {
	id, path, worker string
	at               time.Time
}

// app is a service of plain workers that crash.
type app struct {
	rig     *rig
	crashes bool

	mu        sync.Mutex
	arrivals  []arrival
	crashedAt []time.Time
}

// appWorker is one of its workers. It starts again under its ID.
type appWorker struct {
	app      *app
	id, addr string
	work     time.Duration
	born     int64
	server   *http.Server
}

func (a *app) addWorker(id string, work time.Duration) error {
	addr, err := stand.FreeAddr()
	if err != nil {
		return err
	}
	w := &appWorker{app: a, id: id, addr: addr, work: work}
	return w.start()
}

func (w *appWorker) start() error {
	listener, err := net.Listen("tcp", w.addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	w.born = time.Now().UnixMilli()
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: callTimeout}
	go func(server *http.Server) { _ = server.Serve(listener) }(w.server)
	return w.app.rig.list(quetzalpier.VM{
		ID: w.id, Addr: w.addr, Domain: "hall-a", Kind: quetzalpier.KindPlain, Pool: "app", State: quetzalpier.VMLive, Slots: 6, Incarnation: w.born, Software: "1",
	})
}

// ServeHTTP implements http.Handler.
func (w *appWorker) ServeHTTP(out http.ResponseWriter, req *http.Request) {
	header := out.Header()
	header.Set(platform.HeaderWorker, w.id)
	if expect := req.Header.Get(platform.HeaderExpectWorker); expect != "" && expect != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := req.Header.Get(platform.HeaderAttempt)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	a := w.app
	crash := a.crashes && strings.Contains(req.URL.Path, crashWord)
	a.mu.Lock()
	a.arrivals = append(a.arrivals, arrival{id: id, path: req.URL.Path, worker: w.id, at: time.Now()})
	if crash {
		a.crashedAt = append(a.crashedAt, time.Now())
	}
	a.mu.Unlock()
	if crash {
		a.rig.note("%s crashes with %s", w.id, id)
		go w.crash(w.server)
		<-req.Context().Done()
		return
	}
	time.Sleep(w.work)
	header.Set(platform.HeaderAttempt, id)
	header.Set(platform.HeaderStamp, fmt.Sprintf("%s.%d.%s", w.id, w.born, id))
	if strings.HasPrefix(req.URL.Path, streamPrefix) {
		header.Set("Content-Type", "text/event-stream")
		for event := range streamEvents {
			_, _ = fmt.Fprintf(out, "id: %d\ndata: %s-%d\n\n", event+1, id, event+1)
		}
		return
	}
	_, _ = fmt.Fprintf(out, "served %s, %d bytes", id, len(body))
}

// crash ends the worker with all its connections, and starts it again.
func (w *appWorker) crash(server *http.Server) {
	if server.Close() != nil {
		return
	}
	time.Sleep(downTime)
	if err := w.start(); err != nil {
		w.app.rig.note("%s did not start again: %v", w.id, err)
	}
}

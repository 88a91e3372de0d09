package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/sleep"
	"quetzalpier/stand"
)

const (
	workPath = "/kept/"
	poolWork = "work"
	// workTimeout is the timeout of the requests for work, and maxWork how long the upstream
	// works on one.
	workTimeout = 6 * time.Second
	maxWork     = 3 * time.Second
	// keptClients is the number of clients that keep their connections, and maxThinkTime the
	// time between two requests of one.
	keptClients  = 12
	maxThinkTime = 800 * time.Millisecond
	// overlapDelay is the longest time between two planned stops that overlap.
	overlapDelay = 2 * time.Second
	// exitSlack is the time by which a client may notice the end of a process later than the rig.
	exitSlack = 500 * time.Millisecond
	// hangTime is how long watches that begin get no answer.
	hangTime = 500 * time.Millisecond
)

// stops plays planned stops in series, two of them overlapping at times, while clients use
// their open connections until the process is gone. No request that an upstream has begun may
// end without an answer, and none that was refused may have run.
type stops struct {
	*faultInjector

	mu sync.Mutex
	// planned are the planned stops so far, and ran the requests that the upstream began.
	planned []plannedStop
	ran     map[string]bool
	served  int
}

// plannedStop is a planned stop of a front from the signal to the end of its process; the zero
// time if it has not ended.
type plannedStop struct {
	front         *Node
	from, endedAt time.Time
}

// playStops runs until the time is over and the last stop has ended.
func (f *faultInjector) playStops(ctx context.Context, total time.Duration) {
	s := &stops{faultInjector: f, ran: map[string]bool{}}
	server, err := stand.Serve("127.0.0.1:0", 0, s.work)
	if err == nil {
		defer server.Close()
		err = f.rig.AddRoutes(quetzalpier.Route{
			Name: "work", Host: Host, Prefix: workPath, MaxAttempts: 1, Timeout: workTimeout, LatencyObjective: workTimeout,
			Targets: []quetzalpier.Target{{Pool: poolWork, Weight: 1}},
		})
	}
	if err == nil {
		err = f.rig.WriteVM(quetzalpier.VM{ID: poolWork, Pool: poolWork, Addr: server.Addr, Domain: "d", State: quetzalpier.VMLive, Slots: 4 * keptClients, Incarnation: 1})
	}
	if err != nil {
		f.ledger.recordViolation("upstream of the planned stops not added: %v", err)
		return
	}
	clientCtx, stopClients := context.WithCancel(ctx)
	var clients conc.WaitGroup
	for i := range keptClients {
		rnd := rand.New(rand.NewPCG(f.rnd.Uint64(), uint64(i)))
		clients.Go(func() { s.useConnections(clientCtx, i, rnd) })
	}
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		f.hangWatch(ctx)
		var round conc.WaitGroup
		for range 1 + f.rnd.IntN(2) {
			n, delay := f.rig.Fronts[f.rnd.IntN(len(f.rig.Fronts))], time.Duration(f.rnd.Int64N(int64(overlapDelay)))
			round.Go(func() { s.stopFront(ctx, n, delay) })
		}
		round.Wait()
		sleep.For(ctx, minFaultPause)
	}
	stopClients()
	clients.Wait()
	f.ledger.recordKept(s.served)
}

// hangWatch leaves the watches of the configuration that begin at a random node without an
// answer for a while, and changes the configuration, so that one begins.
func (f *faultInjector) hangWatch(ctx context.Context) {
	nodes := f.rig.nodes()
	n := nodes[f.rnd.IntN(len(nodes))]
	f.logFault("hang watch", n.Settings.Name, hangTime)
	n.KV.SetFaults(stand.KVFaults{Hang: platform.KeyConfig})
	if err := f.rig.WriteConfig(); err != nil {
		f.ledger.recordViolation("configuration not written: %v", err)
	}
	sleep.For(ctx, hangTime)
	n.KV.SetFaults(stand.KVFaults{})
}

// stopFront requests a planned stop of a front that no other fault disturbs, and starts it again.
func (s *stops) stopFront(ctx context.Context, n *Node, delay time.Duration) {
	sleep.For(ctx, delay)
	if !n.disturbed.CompareAndSwap(false, true) {
		return
	}
	s.mu.Lock()
	s.logFault("planned stop", n.Settings.Name, 0)
	number := len(s.planned)
	s.planned = append(s.planned, plannedStop{front: n, from: time.Now()})
	s.mu.Unlock()
	inTime := n.Stop()
	s.mu.Lock()
	s.planned[number].endedAt = time.Now()
	s.mu.Unlock()
	if !inTime {
		s.ledger.recordViolation("%s did not end within its grace", n.Settings.Name)
	}
	s.restart(n)
}

// work answers a request after as many milliseconds as its body says.
func (s *stops) work(c *fasthttp.RequestCtx) {
	id := string(c.Request.Header.Peek(platform.HeaderAttempt))
	s.mu.Lock()
	s.ran[id] = true
	s.mu.Unlock()
	ms, _ := strconv.Atoi(strings.TrimSpace(string(c.PostBody())))
	time.Sleep(min(maxWork, time.Duration(ms)*time.Millisecond))
	c.Response.Header.Set(platform.HeaderAttempt, id)
	c.Response.Header.Set(platform.HeaderStamp, "stamp")
	c.SetBodyString("done")
}

// useConnections sends requests over one connection after the other, each of which it keeps
// until the front closes it.
func (s *stops) useConnections(ctx context.Context, client int, rnd *rand.Rand) {
	for number := 0; sleep.For(ctx, time.Duration(rnd.Int64N(int64(maxThinkTime)))); {
		n := s.rig.Fronts[rnd.IntN(len(s.rig.Fronts))]
		conn, err := net.DialTimeout("tcp", n.Settings.Front, time.Second)
		if err != nil {
			continue
		}
		reader := bufio.NewReader(conn)
		for open := true; open && sleep.For(ctx, time.Duration(rnd.Int64N(int64(maxThinkTime)))); number++ {
			id := fmt.Sprintf("kept%dx%d", client, number)
			open = s.request(n, conn, reader, id, time.Duration(rnd.Int64N(int64(maxWork))))
		}
		_ = conn.Close()
	}
}

// request sends a request over a kept connection and checks its answer. It reports whether the
// connection can be used again.
func (s *stops) request(n *Node, conn net.Conn, reader *bufio.Reader, id string, work time.Duration) (open bool) {
	body := strconv.FormatInt(work.Milliseconds(), 10)
	sentAt := time.Now()
	_ = conn.SetDeadline(sentAt.Add(workTimeout + time.Second))
	_, err := fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		workPath, id, Host, platform.HeaderAttempt, id, platform.HeaderDeadline, workTimeout.Milliseconds(), len(body), body)
	resp := &fasthttp.Response{}
	if err == nil {
		err = resp.Read(reader)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch status := resp.StatusCode(); {
	case err != nil && s.ran[id] && s.cutByStop(n, sentAt, time.Now()):
		s.ledger.recordViolation("%s cut request %s in a planned stop, sent %s before, after an upstream had begun it: %v", n.Settings.Name, id, time.Since(sentAt), err)
	case err == nil && status == http.StatusServiceUnavailable && s.ran[id]:
		s.ledger.recordViolation("request %s was refused by %s and has run", id, n.Settings.Name)
	case err == nil && status == http.StatusOK:
		s.served++
	}
	return err == nil && !resp.ConnectionClose()
}

// cutByStop reports whether a front was stopping as planned all the while that a request was
// broken off. The caller holds the lock.
func (s *stops) cutByStop(n *Node, sentAt, cutAt time.Time) bool {
	for _, stop := range s.planned {
		over := !stop.endedAt.IsZero() && sentAt.After(stop.endedAt)
		if stop.front == n && !over && cutAt.After(stop.from) && (stop.endedAt.IsZero() || cutAt.Before(stop.endedAt.Add(exitSlack))) {
			return true
		}
	}
	return false
}

// recordKept records the requests over kept connections that were served.
func (l *Ledger) recordKept(served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.KeptServed += served
}

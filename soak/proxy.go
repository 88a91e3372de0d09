package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Mode is what a proxy does to its connections.
type Mode string

// The modes of a proxy.
const (
	Pass Mode = "pass"
	// Delay holds every piece up, and Reset closes connections as they come.
	Delay Mode = "delay"
	Reset Mode = "reset"
	// Silence loses everything on the connections that are open, for good; new
	// ones work.
	Silence Mode = "silence"
	// Cut loses everything both ways, and OneWay everything from the target.
	Cut    Mode = "cut"
	OneWay Mode = "oneway"
)

// delayTime is how long Delay holds a piece up.
const delayTime = 150 * time.Millisecond

// Proxy passes TCP connections from a loopback address on to a target, and
// misbehaves when told to.
type Proxy struct {
	Addr string

	target   string
	listener net.Listener
	workers  conc.WaitGroup
	mu       sync.Mutex
	mode     Mode
	pairs    map[*pair]struct{}
}

type pair struct {
	near, far net.Conn
	// silent is set for good by Silence.
	silent bool
}

// NewProxy starts a proxy to target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Addr: listener.Addr().String(), target: target, listener: listener, mode: Pass, pairs: map[*pair]struct{}{}}
	p.workers.Go(p.accept)
	return p, nil
}

// Set changes the mode, also for open connections.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	p.mode = mode
	if mode == Silence {
		p.mode = Pass
	}
	var ended []*pair
	for c := range p.pairs {
		switch mode {
		case Silence:
			c.silent = true
		case Reset:
			ended = append(ended, c)
		}
	}
	p.mu.Unlock()
	for _, c := range ended {
		p.end(c)
	}
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Set(Reset)
	p.workers.Wait()
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.workers.Go(func() { p.serve(near) })
	}
}

func (p *Proxy) serve(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil || p.is(Reset) {
		reset(near)
		if far != nil {
			_ = far.Close()
		}
		return
	}
	c := &pair{near: near, far: far}
	p.mu.Lock()
	p.pairs[c] = struct{}{}
	p.mu.Unlock()
	var ways conc.WaitGroup
	ways.Go(func() { p.copy(c, far, near, true) })
	ways.Go(func() { p.copy(c, near, far, false) })
	ways.Wait()
}

func (p *Proxy) is(mode Mode) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == mode
}

// copy passes one direction on until it ends, which ends the other as well.
func (p *Proxy) copy(c *pair, to, from net.Conn, out bool) {
	defer p.end(c)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.lost(c, out) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			return
		}
	}
}

// lost tells whether a piece is lost, after it was held up if it is to be.
func (p *Proxy) lost(c *pair, out bool) bool {
	p.mu.Lock()
	mode, silent := p.mode, c.silent
	p.mu.Unlock()
	if mode == Delay {
		time.Sleep(delayTime)
	}
	return silent || mode == Cut || (mode == OneWay && !out)
}

func (p *Proxy) end(c *pair) {
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
	_ = c.near.Close()
	_ = c.far.Close()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

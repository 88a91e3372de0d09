package soak

import (
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"quetzalpier/stand"
)

// Mode selects the network fault that a proxy injects.
type Mode string

// Modes of a proxy.
const (
	// Pass forwards all data unchanged.
	Pass Mode = "pass"
	// Delay delays every chunk by chunkDelay. Reset closes the open connections
	// and resets every new one.
	Delay Mode = "delay"
	Reset Mode = "reset"
	// Silence drops all further data of the connections that are open; new
	// connections work.
	Silence Mode = "silence"
	// Cut drops the data of both directions, and OneWay the data from the target.
	Cut    Mode = "cut"
	OneWay Mode = "oneway"
	// Partition holds back the data of both directions and lets new connections hang, and
	// Lost the same but only the data from the target. Refuse refuses new connections, and
	// ResetRefuse resets the open ones as well.
	Partition   Mode = "partition"
	Lost        Mode = "lost"
	Refuse      Mode = "refuse"
	ResetRefuse Mode = "reset-refuse"
)

// partitions are the modes of a node that is partitioned from an upstream.
var partitions = []Mode{Partition, Lost, Refuse, ResetRefuse}

const (
	// chunkDelay is the delay of each chunk in mode Delay.
	chunkDelay = 150 * time.Millisecond
	// holdInterval is the time between two checks whether a partition is over.
	holdInterval = 10 * time.Millisecond
)

// Proxy is a TCP proxy on a loopback address that forwards connections to a
// target and injects the network fault of its mode.
type Proxy struct {
	Addr string

	target     string
	port       *stand.Port
	goroutines conc.WaitGroup
	mu         sync.Mutex
	mode       Mode
	changes    int
	open       map[*connPair]struct{}
}

type connPair struct {
	client, target net.Conn
	// silenced is set by Silence and never reset.
	silenced bool
}

// NewProxy starts a proxy to target.
func NewProxy(target string) (*Proxy, error) {
	port, err := stand.OpenPort()
	if err != nil {
		return nil, err
	}
	p := &Proxy{Addr: port.Addr, target: target, port: port, mode: Pass, open: map[*connPair]struct{}{}}
	p.goroutines.Go(p.acceptLoop)
	return p, nil
}

// SetMode changes the mode; it also applies to open connections.
func (p *Proxy) SetMode(mode Mode) error {
	p.mu.Lock()
	p.mode = mode
	p.changes++
	if mode == Silence {
		p.mode = Pass
	}
	var toClose []*connPair
	for c := range p.open {
		switch mode {
		case Silence:
			c.silenced = true
		case Reset, ResetRefuse:
			toClose = append(toClose, c)
		}
	}
	p.mu.Unlock()
	for _, c := range toClose {
		closeWithReset(c.client)
		p.closePair(c)
	}
	return p.setPort(mode)
}

// setPort opens or closes the port for new connections.
func (p *Proxy) setPort(mode Mode) error {
	switch mode {
	case Partition, Lost:
		return p.port.Hang()
	case Refuse, ResetRefuse:
		return p.port.Refuse()
	default:
		return p.port.Open()
	}
}

// Mode returns the mode and how often it was set.
func (p *Proxy) Mode() (mode Mode, changes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changes
}

// Close stops the proxy and closes all its connections.
func (p *Proxy) Close() {
	p.port.Close()
	p.mu.Lock()
	p.mode = Reset
	open := slices.Collect(maps.Keys(p.open))
	p.mu.Unlock()
	for _, c := range open {
		p.closePair(c)
	}
	p.goroutines.Wait()
}

func (p *Proxy) acceptLoop() {
	for {
		client, err := p.port.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.serveConn(client) })
	}
}

func (p *Proxy) serveConn(client net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil || p.modeIs(Reset) {
		closeWithReset(client)
		if target != nil {
			_ = target.Close()
		}
		return
	}
	c := &connPair{client: client, target: target}
	p.mu.Lock()
	p.open[c] = struct{}{}
	p.mu.Unlock()
	var directions conc.WaitGroup
	directions.Go(func() { p.forward(c, target, client, true) })
	directions.Go(func() { p.forward(c, client, target, false) })
	directions.Wait()
}

func (p *Proxy) modeIs(mode Mode) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == mode
}

// forward copies one direction of a connection until it ends, then closes both
// directions.
func (p *Proxy) forward(c *connPair, to, from net.Conn, fromClient bool) {
	defer p.closePair(c)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.holdBack(c, fromClient)
		if n > 0 && !p.delayOrDrop(c, fromClient) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				closeWithReset(to)
			}
			return
		}
	}
}

// holdBack waits while the direction is partitioned and the connection open.
func (p *Proxy) holdBack(c *connPair, fromClient bool) {
	for {
		p.mu.Lock()
		_, open := p.open[c]
		held := open && (p.mode == Partition || p.mode == Lost && !fromClient)
		p.mu.Unlock()
		if !held {
			return
		}
		time.Sleep(holdInterval)
	}
}

// delayOrDrop delays a chunk in mode Delay and reports whether to drop it.
func (p *Proxy) delayOrDrop(c *connPair, fromClient bool) bool {
	p.mu.Lock()
	mode, silenced := p.mode, c.silenced
	p.mu.Unlock()
	if mode == Delay {
		time.Sleep(chunkDelay)
	}
	return silenced || mode == Cut || (mode == OneWay && !fromClient)
}

func (p *Proxy) closePair(c *connPair) {
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
	_ = c.client.Close()
	_ = c.target.Close()
}

func closeWithReset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

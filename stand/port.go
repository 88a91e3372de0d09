package stand

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// portBacklog is the usual number of connections that wait to be accepted.
	portBacklog = 1024
	// fillTimeout is how long a connection that fills the backlog may take, and maxFills how
	// many are tried at most.
	fillTimeout = 50 * time.Millisecond
	maxFills    = 16
)

// Port is a listener on a loopback address that new connections may be kept from.
// Established connections are not affected.
type Port struct {
	Addr string

	mu       sync.Mutex
	listener *net.TCPListener
	// accepting counts the calls that wait for a connection; left is signaled when it falls.
	accepting int
	left      *sync.Cond
	// fillers occupy the backlog while new connections hang.
	fillers []net.Conn
	// opened is closed when the port is open, and replaced when it no longer is.
	opened chan struct{}
	closed chan struct{}
}

// OpenPort listens on a free loopback address.
func OpenPort() (*Port, error) {
	p := &Port{opened: make(chan struct{}), closed: make(chan struct{})}
	p.left = sync.NewCond(&p.mu)
	if err := p.listen(Host(int(addrCount.Add(1))) + ":0"); err != nil {
		return nil, err
	}
	p.Addr = p.listener.Addr().String()
	close(p.opened)
	return p, nil
}

// listen opens the listener; the caller holds the lock or is alone.
func (p *Port) listen(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	p.listener = listener.(*net.TCPListener)
	return nil
}

// Accept waits for a connection. It returns net.ErrClosed after Close.
func (p *Port) Accept() (net.Conn, error) {
	for {
		p.mu.Lock()
		opened := p.opened
		p.mu.Unlock()
		select {
		case <-opened:
		case <-p.closed:
			return nil, net.ErrClosed
		}
		if conn := p.acceptOpen(); conn != nil {
			return conn, nil
		}
		select {
		case <-p.closed:
			return nil, net.ErrClosed
		default:
		}
	}
}

// acceptOpen waits for a connection while the port is open. It returns nil if it no longer
// is.
func (p *Port) acceptOpen() net.Conn {
	p.mu.Lock()
	listener, opened := p.listener, p.opened
	select {
	case <-opened:
	default:
		p.mu.Unlock()
		return nil
	}
	p.accepting++
	p.mu.Unlock()
	conn, err := listener.Accept()
	p.mu.Lock()
	p.accepting--
	p.left.Broadcast()
	p.mu.Unlock()
	if err != nil {
		return nil
	}
	return conn
}

// Refuse makes new connections be refused until Open.
func (p *Port) Refuse() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shut()
	return p.listener.Close()
}

// Hang makes new connections hang until Open, as those to the other side of a partition.
func (p *Port) Hang() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shut()
	if err := p.listener.SetDeadline(time.Unix(1, 0)); err != nil {
		return errors.Wrap(err, "stop accepting")
	}
	// A call of Accept that has passed the deadline would still take a filler.
	for p.accepting > 0 {
		p.left.Wait()
	}
	if err := p.setBacklog(0); err != nil {
		return err
	}
	for range maxFills {
		full, err := p.full()
		if err != nil || full {
			return err
		}
		// A timeout alone doesn't show that the backlog is full: this process may have had to
		// wait for its processor.
		if conn, err := net.DialTimeout("tcp", p.Addr, fillTimeout); err == nil {
			p.fillers = append(p.fillers, conn)
		}
	}
	return errors.Errorf("the backlog of %s is not full after %d connections", p.Addr, maxFills)
}

// full reports whether the kernel drops new connections, by the number of those that wait to
// be accepted and the length of the backlog.
func (p *Port) full() (bool, error) {
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return false, errors.Wrap(err, "read the backlog")
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) {
		// Of a listening socket, these are the fields of TCP_INFO that hold both.
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return false, errors.Wrap(err, "read the backlog")
	}
	if infoErr != nil {
		return false, errors.Wrap(infoErr, "read the backlog")
	}
	return info.Unacked > info.Sacked, nil
}

// Open accepts connections again.
func (p *Port) Open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.opened:
		return nil
	default:
	}
	for _, filler := range p.fillers {
		_ = filler.Close()
	}
	p.fillers = nil
	if err := p.listener.SetDeadline(time.Time{}); err != nil {
		if err := p.listen(p.Addr); err != nil {
			return err
		}
	}
	if err := p.setBacklog(portBacklog); err != nil {
		return err
	}
	close(p.opened)
	return nil
}

// shut makes Accept wait for Open; the caller holds the lock.
func (p *Port) shut() {
	select {
	case <-p.opened:
		p.opened = make(chan struct{})
	default:
	}
}

func (p *Port) setBacklog(backlog int) error {
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "set the backlog")
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), backlog) }); err != nil {
		return errors.Wrap(err, "set the backlog")
	}
	return errors.Wrap(listenErr, "set the backlog")
}

// Close stops listening.
func (p *Port) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.closed:
		return
	default:
	}
	close(p.closed)
	for _, filler := range p.fillers {
		_ = filler.Close()
	}
	_ = p.listener.Close()
}

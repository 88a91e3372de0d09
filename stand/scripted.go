package stand

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Ending is how a scripted answer ends.
type Ending int

// The endings of a scripted answer.
const (
	// KeepOpen waits for the next request on the connection.
	KeepOpen Ending = iota
	CloseConn
	ResetConn
	// StallConn sends nothing more until the other side closes the connection.
	StallConn
)

// scriptedPause separates the parts of a scripted answer, so that they arrive one by one.
const scriptedPause = 5 * time.Millisecond

// ScriptedAnswer is an answer byte for byte. Its parts are sent one after another.
type ScriptedAnswer struct {
	Parts  []string
	Ending Ending
}

// Scripted is a server that answers each request with bytes that need not be valid HTTP.
type Scripted struct {
	Addr string
	// Conns is the number of connections that were accepted.
	Conns atomic.Int32

	port    *Port
	answer  func(req *fasthttp.Request) ScriptedAnswer
	workers conc.WaitGroup
}

// NewScripted starts a server on a free loopback address.
func NewScripted(answer func(req *fasthttp.Request) ScriptedAnswer) (*Scripted, error) {
	port, err := OpenPort()
	if err != nil {
		return nil, err
	}
	s := &Scripted{Addr: port.Addr, port: port, answer: answer}
	s.workers.Go(func() {
		for {
			conn, err := port.Accept()
			if err != nil {
				return
			}
			s.Conns.Add(1)
			s.workers.Go(func() { s.serve(conn) })
		}
	})
	return s, nil
}

// Close stops the server. It waits until the other sides have closed their connections.
func (s *Scripted) Close() {
	s.port.Close()
	s.workers.Wait()
}

func (s *Scripted) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req := &fasthttp.Request{}
		if req.Read(reader) != nil {
			return
		}
		answer := s.answer(req)
		for i, part := range answer.Parts {
			if i > 0 {
				time.Sleep(scriptedPause)
			}
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
		}
		switch answer.Ending {
		case CloseConn:
			return
		case ResetConn:
			// The bytes are read before the reset, which would discard them.
			time.Sleep(scriptedPause)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		case StallConn:
			_, _ = io.Copy(io.Discard, conn)
			return
		}
	}
}

package stand

import (
	"bufio"
	"io"
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

	listener           *Listener
	answer             func(req *fasthttp.Request) ScriptedAnswer
	accepting, serving conc.WaitGroup
}

// NewScripted starts a server on a free loopback address.
func NewScripted(answer func(req *fasthttp.Request) ScriptedAnswer) (*Scripted, error) {
	listener, err := Listen("127.0.0.1:0", 0)
	if err != nil {
		return nil, err
	}
	s := &Scripted{Addr: listener.Addr().String(), listener: listener, answer: answer}
	s.accepting.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.Conns.Add(1)
			s.serving.Go(func() { s.serve(conn.(*faultyConn)) })
		}
	})
	return s, nil
}

// Close stops the server and resets its connections.
func (s *Scripted) Close() {
	_ = s.listener.Listener.Close()
	s.accepting.Wait()
	s.listener.CloseConns()
	s.serving.Wait()
}

func (s *Scripted) serve(conn *faultyConn) {
	// Resets the connection unless it was closed before.
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
			_ = conn.Conn.Close()
			return
		case ResetConn:
			// The bytes are read before the reset, which would discard them.
			time.Sleep(scriptedPause)
			return
		case StallConn:
			_, _ = io.Copy(io.Discard, conn)
			return
		}
	}
}

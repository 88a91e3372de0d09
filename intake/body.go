package intake

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// SmallBody is the size up to which a body is held in one piece, in bytes.
	SmallBody = 64 << 10
	// chunkBytes is the size of the pieces of a larger body.
	chunkBytes = 64 << 10
	// firstChunkBytes is the size of the first piece of a body of unknown length.
	firstChunkBytes = 4 << 10
	// maxFreeChunks is how many pieces are kept for the next bodies.
	maxFreeChunks = 64
	// maxYieldWait limits how long a body waits for the room of those that yield to it.
	maxYieldWait = time.Second
)

// TooLargeError reports a body that is larger than what is accepted.
type TooLargeError struct {
	// Limit is the maximum, in bytes.
	Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("body is larger than %d bytes", e.Limit) }

// NoRoomError reports that there is no room for a body beside those that are held. Yielded is set
// if the body gave up its room to others that made more progress.
type NoRoomError struct {
	Held, Limit int
	Yielded     bool
}

// Error implements error.
func (e *NoRoomError) Error() string {
	if e.Yielded {
		return "body made less progress than others, which need its room"
	}
	return fmt.Sprintf("no room for the body: others hold %d of %d bytes", e.Held, e.Limit)
}

// Pool lends the memory for bodies, within its limits.
type Pool struct {
	// OnYield is called for each body that is told to yield; nil does nothing.
	OnYield func()

	mu       sync.Mutex
	account  *Account
	lastID   ID
	breakers map[ID]func()
	// released is closed, and replaced, when a body gives back room.
	released chan struct{}
	free     [][]byte
}

// NewPool returns a pool without bodies.
func NewPool(limits Limits) *Pool {
	return &Pool{account: NewAccount(limits), breakers: map[ID]func(){}, released: make(chan struct{})}
}

// Held returns the number of bytes that all bodies hold.
func (p *Pool) Held() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account.Held
}

// HeldBody is a body in memory. It must be closed.
type HeldBody struct {
	pool *Pool
	id   ID

	mu     sync.Mutex
	chunks [][]byte
	size   int
	closed bool
}

// Read reads a body to its end. length is the announced length; negative for an unknown one. A
// body of more than limit bytes is refused with a TooLargeError, and one without room with a
// NoRoomError. breakOff makes a pending read of r fail: it is called if the body has to yield.
func (p *Pool) Read(r io.Reader, length, limit int, breakOff func()) (*HeldBody, error) {
	if limit > 0 && length > limit {
		return nil, &TooLargeError{limit}
	}
	p.mu.Lock()
	p.lastID++
	b := &HeldBody{pool: p, id: p.lastID}
	p.account.Open(b.id, time.Now())
	p.breakers[b.id] = breakOff
	fits, most := p.account.Fits(length), p.account.Limits.Bytes
	p.mu.Unlock()
	err := error(&TooLargeError{most})
	if fits {
		err = b.fill(r, length, limit)
	}
	if err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

func (b *HeldBody) fill(r io.Reader, length, limit int) error {
	for length < 0 || b.size < length {
		chunk, err := b.addChunk(length)
		if err != nil {
			return err
		}
		n, ended, err := readChunk(r, chunk)
		b.chunks[len(b.chunks)-1] = chunk[:n]
		b.size += n
		switch {
		case limit > 0 && b.size > limit:
			return &TooLargeError{limit}
		case ended && length >= 0 && b.size < length:
			return io.ErrUnexpectedEOF
		case ended:
			return b.finish()
		case err != nil && b.yielding():
			return &NoRoomError{Yielded: true}
		case err != nil:
			return err
		}
	}
	return b.finish()
}

// readChunk fills a chunk, or reads to the end of the body. Unlike io.ReadFull, it tells the end
// from a body that breaks off.
func readChunk(r io.Reader, chunk []byte) (n int, ended bool, err error) {
	for n < len(chunk) && err == nil {
		var read int
		read, err = r.Read(chunk[n:])
		n += read
	}
	if err == io.EOF {
		return n, true, nil
	}
	return n, false, err
}

// addChunk adds the next chunk to fill.
func (b *HeldBody) addChunk(length int) ([]byte, error) {
	size := chunkBytes
	switch {
	case length >= 0 && length <= SmallBody:
		size = length
	case length < 0 && b.size == 0:
		size = firstChunkBytes
	}
	if err := b.pool.grow(b.id, size); err != nil {
		return nil, err
	}
	chunk := b.pool.take(size)
	if length >= 0 {
		chunk = chunk[:min(size, length-b.size)]
	}
	b.chunks = append(b.chunks, chunk)
	return chunk, nil
}

// Charge accounts for n further bytes that are held because of the body.
func (b *HeldBody) Charge(n int) error { return b.pool.grow(b.id, n) }

func (b *HeldBody) yielding() bool {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	body := b.pool.account.Bodies[b.id]
	return body != nil && body.Yielding
}

func (b *HeldBody) finish() error {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	if !b.pool.account.Finish(b.id) {
		return &NoRoomError{Yielded: true}
	}
	delete(b.pool.breakers, b.id)
	return nil
}

// HeldAnswer is the room of an answer. It must be closed.
type HeldAnswer struct{ HeldBody }

// OpenAnswer returns an answer that holds nothing. breakOff makes a pending write of it fail: it is
// called if the answer has to yield, which it has not before its first call of Progress.
func (p *Pool) OpenAnswer(breakOff func()) *HeldAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	p.account.OpenAnswer(p.lastID, time.Now())
	p.breakers[p.lastID] = breakOff
	return &HeldAnswer{HeldBody{pool: p, id: p.lastID}}
}

// Progress records that the client begins to read the answer, or has read a part of it.
func (a *HeldAnswer) Progress() {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.pool.account.Deliver(a.id, time.Now())
}

// Hold accounts for n bytes, until release is called.
func (p *Pool) Hold(n int) (release func(), err error) {
	a := p.OpenAnswer(func() {})
	if err := a.Charge(n); err != nil {
		a.Close()
		return nil, err
	}
	return a.Close, nil
}

// Fits reports whether n bytes have room beside nothing else.
func (p *Pool) Fits(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account.Fits(n)
}

// grow waits until a body may hold n bytes more, as long as others are to yield to it.
func (p *Pool) grow(id ID, n int) error {
	end := time.Now().Add(maxYieldWait)
	for {
		now := time.Now()
		p.mu.Lock()
		decision := p.account.Grow(id, n, now)
		held, limit := p.account.Held, p.account.Limits.Bytes
		body := p.account.Bodies[id]
		yielded := body != nil && body.Yielding
		if len(decision.Yield) > 0 {
			// One that waits for room itself has to learn that it yields.
			p.wake()
		}
		released := p.released
		var broken []func()
		for _, other := range decision.Yield {
			broken = append(broken, p.breakers[other])
		}
		p.mu.Unlock()
		for _, breakOff := range broken {
			breakOff()
			if p.OnYield != nil {
				p.OnYield()
			}
		}
		if decision.Granted {
			return nil
		}
		if !decision.Pending || !now.Before(end) {
			return &NoRoomError{Held: held, Limit: limit, Yielded: yielded}
		}
		timer := time.NewTimer(end.Sub(now))
		select {
		case <-released:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// take returns a chunk of this size.
func (p *Pool) take(size int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.free) - 1; size == chunkBytes && last >= 0 {
		chunk := p.free[last]
		p.free[last] = nil
		p.free = p.free[:last]
		return chunk
	}
	return make([]byte, size)
}

// giveBack keeps chunks for other bodies. The caller holds the lock.
func (p *Pool) giveBack(chunks [][]byte) {
	for _, chunk := range chunks {
		if cap(chunk) == chunkBytes && len(p.free) < maxFreeChunks {
			p.free = append(p.free, chunk[:chunkBytes])
		}
	}
}

// Len returns the number of bytes.
func (b *HeldBody) Len() int { return b.size }

// Sum64 hashes the prefix and the body.
func (b *HeldBody) Sum64(prefix string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(prefix)
	for _, chunk := range b.chunks {
		_, _ = digest.Write(chunk)
	}
	return digest.Sum64()
}

// Piece returns the body if it is held in one piece.
func (b *HeldBody) Piece() ([]byte, bool) {
	switch len(b.chunks) {
	case 0:
		return nil, true
	case 1:
		// A chunk that is lent again must not be read by an upstream's connection.
		return b.chunks[0], cap(b.chunks[0]) != chunkBytes
	}
	return nil, false
}

// Reader returns a reader of the body from its start. It fails once the body is closed.
func (b *HeldBody) Reader() io.Reader { return &reader{body: b} }

type reader struct {
	body          *HeldBody
	chunk, offset int
}

// Read implements io.Reader.
func (r *reader) Read(to []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, errors.New("body is no longer held")
	}
	for r.chunk < len(b.chunks) && r.offset == len(b.chunks[r.chunk]) {
		r.chunk, r.offset = r.chunk+1, 0
	}
	if r.chunk == len(b.chunks) {
		return 0, io.EOF
	}
	n := copy(to, b.chunks[r.chunk][r.offset:])
	r.offset += n
	return n, nil
}

// Join returns the body in one piece, which the caller keeps. Nothing else can be read afterwards:
// the chunks are given back as they are copied. The charge stays until Close.
func (b *HeldBody) Join() []byte {
	if piece, ok := b.Piece(); ok {
		return piece
	}
	joined := make([]byte, 0, b.size)
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, chunk := range b.chunks {
		joined = append(joined, chunk...)
		b.chunks[i] = nil
		b.pool.mu.Lock()
		b.pool.giveBack([][]byte{chunk})
		b.pool.mu.Unlock()
	}
	b.chunks = nil
	return joined
}

// Close gives the memory back.
func (b *HeldBody) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	p := b.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.giveBack(b.chunks)
	b.chunks = nil
	p.account.Release(b.id)
	delete(p.breakers, b.id)
	p.wake()
}

// wake makes the bodies that wait for room ask again. The caller holds the lock.
func (p *Pool) wake() {
	close(p.released)
	p.released = make(chan struct{})
}

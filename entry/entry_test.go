package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/entry"
	"quetzalpier/link"
	"quetzalpier/meter"
	"quetzalpier/platform"
	"quetzalpier/send"
	"quetzalpier/stand"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

const (
	host     = "test.example"
	patience = 10 * time.Second
)

// rig is an entry on loopback addresses without other nodes.
type rig struct {
	board  *board.Board
	entry  *entry.Entry
	kv     *stand.KV
	steady atomic.Bool
	addr   string
	lookup string
	ready  string
}

func newRig(t *testing.T) *rig {
	t.Helper()
	kv, err := stand.NewKV("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(kv.Close)
	r := &rig{board: board.New(board.Member{ID: "n"}), kv: kv, addr: free(t), lookup: free(t), ready: free(t)}
	r.steady.Store(true)
	links, m := link.New(), meter.New()
	sender := send.New(r.board, links, m, 1)
	r.entry = entry.New(entry.Options{
		Board: r.board, Sender: sender, Links: links, Vault: &vault.Vault{KV: platform.NewKV(kv.Addr)}, Meter: m, Log: zerolog.Nop(),
		Call: func(context.Context, string, *wire.Call) (*wire.Reply, error) {
			return nil, errors.New("no other node")
		},
		Keep: time.Second, History: time.Minute,
		Steady: func(time.Time) bool { return r.steady.Load() }, Cut: func() bool { return false },
	})
	require.NoError(t, r.entry.ServeFront(r.addr))
	require.NoError(t, r.entry.ServeLookup(r.lookup))
	require.NoError(t, r.entry.ServeReady(r.ready))
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	running.Go(func() { sender.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait(); r.entry.Close(context.Background()); links.Close() })
	return r
}

func free(t *testing.T) string {
	t.Helper()
	addr, err := stand.FreeAddr()
	require.NoError(t, err)
	return addr
}

func (r *rig) configure() {
	route := func(name string, change func(*quetzalpier.Route)) quetzalpier.Route {
		route := quetzalpier.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Attempts: 3, Timeout: 2 * time.Second, Due: time.Second, Life: time.Minute,
			Targets: []quetzalpier.Target{{Pool: "p", Weight: 1}},
		}
		change(&route)
		return route
	}
	r.board.Update(func(s *board.State) {
		s.SetConfig(quetzalpier.Config{Number: s.Config.Number + 1, Routes: []quetzalpier.Route{
			route("safe", func(r *quetzalpier.Route) { r.Repeat = true }),
			route("once", func(*quetzalpier.Route) {}),
			route("short", func(r *quetzalpier.Route) { r.Repeat, r.Timeout = true, 200*time.Millisecond }),
			route("stream", func(r *quetzalpier.Route) { r.Stream, r.Resume = true, true }),
			route("brittle", func(r *quetzalpier.Route) { r.Stream = true }),
			route("batch", func(r *quetzalpier.Route) { r.Batch = true }),
		}})
	})
}

func (r *rig) list(vms ...quetzalpier.VM) {
	r.board.Update(func(s *board.State) { s.SetAll(vms, time.Now()) })
}

func (r *rig) worker(t *testing.T, id string) *stand.Worker {
	t.Helper()
	w, err := stand.NewWorker("127.0.0.1:0", stand.WorkerOptions{
		ID: id, Pool: "p", Slots: 6, Pace: time.Millisecond, Models: map[string]quetzalpier.Version{"m": 3},
	})
	require.NoError(t, err)
	t.Cleanup(w.Close)
	return w
}

// server is an upstream whose answers are the test's.
func (r *rig) server(t *testing.T, id string, handler fasthttp.RequestHandler) quetzalpier.VM {
	t.Helper()
	s, err := stand.Serve("127.0.0.1:0", 0, handler)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return quetzalpier.VM{ID: id, Addr: s.Addr, Pool: "p", Kind: quetzalpier.KindPlain, State: quetzalpier.VMLive, Slots: 6}
}

func (r *rig) call(t *testing.T, method, path, body string, header map[string]string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+r.addr+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Host = host
	req.Header.Set(platform.HeaderAttempt, "a1")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

func requireStatus(t *testing.T, r *rig, path string, status int) *http.Response {
	t.Helper()
	resp, text, err := r.call(t, http.MethodPost, path, "body", nil)
	require.NoError(t, err)
	require.Equal(t, status, resp.StatusCode, text)
	return resp
}

func sign(c *fasthttp.RequestCtx) {
	c.Response.Header.Set(platform.HeaderAttempt, string(c.Request.Header.Peek(platform.HeaderAttempt)))
	c.Response.Header.Set(platform.HeaderStamp, "stamp")
}

func decline(c *fasthttp.RequestCtx) {
	c.Response.Header.Set(platform.HeaderNotRun, "1")
	c.SetStatusCode(http.StatusServiceUnavailable)
}

func TestForward(t *testing.T) {
	t.Run("a request reaches its upstream as it was sent", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		var uri, body, expect, deadline string
		r.list(r.server(t, "u", func(c *fasthttp.RequestCtx) {
			uri, body = string(c.Request.Header.RequestURI()), string(c.PostBody())
			expect, deadline = string(c.Request.Header.Peek(platform.HeaderExpectWorker)), string(c.Request.Header.Peek(platform.HeaderDeadline))
			require.Empty(t, c.Request.Header.Peek("X-Hop"))
			sign(c)
			c.SetBodyString("answer")
		}))
		resp, text, err := r.call(t, http.MethodPost, "/safe/a%2Fb//c?x=%20&y", "bytes", map[string]string{
			platform.HeaderDeadline: "1500", "Connection": "X-Hop", "X-Hop": "1",
		})
		require.NoError(t, err)
		require.Equal(t, "answer", text)
		require.Equal(t, "stamp", resp.Header.Get(platform.HeaderStamp))
		require.Equal(t, []string{"/safe/a%2Fb//c?x=%20&y", "bytes", "u"}, []string{uri, body, expect})
		left := 0
		_, err = fmt.Sscan(deadline, &left)
		require.NoError(t, err)
		require.LessOrEqual(t, left, 1500)
	})
	t.Run("no configuration, no route, no upstream", func(t *testing.T) {
		r := newRig(t)
		requireStatus(t, r, "/safe/x", http.StatusServiceUnavailable)
		r.configure()
		requireStatus(t, r, "/other/x", http.StatusNotFound)
		resp := requireStatus(t, r, "/safe/x", http.StatusServiceUnavailable)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	})
	t.Run("an upstream that has not run the request is passed over", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		w := r.worker(t, "good")
		r.list(r.server(t, "full", decline), w.VM())
		for _, path := range []string{"/safe/x", "/once/x"} {
			for range 6 {
				requireStatus(t, r, path, http.StatusOK)
			}
		}
	})
	t.Run("a body over the configured size is refused", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		r.board.Update(func(s *board.State) { s.Config.Input.Body = 3 })
		requireStatus(t, r, "/safe/x", http.StatusRequestEntityTooLarge)
	})
	t.Run("refused by all is a promise", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		r.list(r.server(t, "full", decline))
		requireStatus(t, r, "/once/x", http.StatusServiceUnavailable)
	})
	t.Run("an answer that is not whole or not signed is none", func(t *testing.T) {
		spoiled := map[string]fasthttp.RequestHandler{
			"no signature":     func(c *fasthttp.RequestCtx) { sign(c); c.Response.Header.Del(platform.HeaderStamp) },
			"another's answer": func(c *fasthttp.RequestCtx) { sign(c); c.Response.Header.Set(platform.HeaderAttempt, "other") },
			"cut off": func(c *fasthttp.RequestCtx) {
				sign(c)
				c.SetBodyStreamWriter(func(w *bufio.Writer) { _, _ = w.WriteString("half"); _ = w.Flush(); _ = c.Conn().Close() })
			},
		}
		for name, handler := range spoiled {
			t.Run(name, func(t *testing.T) {
				r := newRig(t)
				r.configure()
				bad := r.server(t, "bad", handler)
				r.list(bad)
				requireStatus(t, r, "/once/x", http.StatusBadGateway)
				w := r.worker(t, "good")
				r.list(bad, w.VM())
				for range 4 {
					requireStatus(t, r, "/safe/x", http.StatusOK)
				}
			})
		}
	})
	t.Run("a request that is not idempotent runs once", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		var runs atomic.Int32
		reset := func(c *fasthttp.RequestCtx) { runs.Add(1); _ = c.Conn().Close() }
		r.list(r.server(t, "a", reset), r.server(t, "b", reset))
		requireStatus(t, r, "/once/x", http.StatusBadGateway)
		require.EqualValues(t, 1, runs.Load())
	})
	t.Run("the route's time ends a request", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		r.list(r.server(t, "slow", func(c *fasthttp.RequestCtx) { time.Sleep(time.Second); sign(c) }))
		requireStatus(t, r, "/short/x", http.StatusGatewayTimeout)
	})
	t.Run("a client that leaves ends its request at the upstream", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		upstream, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = upstream.Close() }()
		r.list(quetzalpier.VM{ID: "u", Addr: upstream.Addr().String(), Pool: "p", Kind: quetzalpier.KindPlain, State: quetzalpier.VMLive, Slots: 6})
		client, err := net.Dial("tcp", r.addr)
		require.NoError(t, err)
		_, err = fmt.Fprintf(client, "POST /safe/x HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", host)
		require.NoError(t, err)
		conn, err := upstream.Accept()
		require.NoError(t, err)
		require.NoError(t, client.Close())
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
		_, err = io.Copy(io.Discard, conn)
		require.NoError(t, err, "the connection must end, not time out")
	})
	t.Run("a request with two lengths is not passed on", func(t *testing.T) {
		for name, header := range map[string]string{
			"length and chunks": "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET",
			"two lengths":       "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody1",
			"unknown coding":    "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		} {
			t.Run(name, func(t *testing.T) {
				r := newRig(t)
				r.configure()
				w := r.worker(t, "w")
				r.list(w.VM())
				client, err := net.Dial("tcp", r.addr)
				require.NoError(t, err)
				defer func() { _ = client.Close() }()
				_, err = fmt.Fprintf(client, "POST /safe/x HTTP/1.1\r\nHost: %s\r\n%s", host, header)
				require.NoError(t, err)
				require.NoError(t, client.SetReadDeadline(time.Now().Add(patience)))
				text, err := io.ReadAll(client)
				require.NoError(t, err, "the connection must be closed")
				require.Contains(t, string(text), " 400 ")
				require.Empty(t, w.Runs())
			})
		}
	})
}

func TestStream(t *testing.T) {
	want := func(n int) string {
		text := ""
		for i := 1; i <= n; i++ {
			text += fmt.Sprintf("id: %d\ndata: a1-%d\n\n", i, i)
		}
		return text
	}
	header := map[string]string{platform.HeaderModel: "m"}
	t.Run("events are passed on as they come", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		w := r.worker(t, "w")
		r.list(w.VM())
		resp, text, err := r.call(t, http.MethodPost, "/brittle/x", "5", header)
		require.NoError(t, err)
		require.Equal(t, want(5), text)
		require.Equal(t, "3", resp.Header.Get(platform.HeaderVersion))
	})
	t.Run("one that may be resumed goes on elsewhere", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		broken, good := r.worker(t, "broken"), r.worker(t, "good")
		broken.SetFaults(stand.WorkerFaults{Cut: 3})
		r.list(broken.VM())
		time.AfterFunc(5*time.Millisecond, func() { r.list(broken.VM(), good.VM()) })
		_, text, err := r.call(t, http.MethodPost, "/stream/x", "6", header)
		require.NoError(t, err)
		require.Equal(t, want(6), text)
	})
	t.Run("one that may not never looks whole", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		w := r.worker(t, "w")
		w.SetFaults(stand.WorkerFaults{Cut: 3})
		r.list(w.VM())
		_, text, err := r.call(t, http.MethodPost, "/brittle/x", "6", header)
		require.Error(t, err)
		require.Equal(t, want(2), text)
		require.Len(t, w.Runs(), 1)
	})
}

func TestJobs(t *testing.T) {
	body, err := platform.EncodeJob(quetzalpier.Job{Model: "m", Tasks: []quetzalpier.Task{{ID: "t1", Path: "/batch/t1", Body: []byte("hello")}}})
	require.NoError(t, err)
	submit := func(t *testing.T, r *rig, body string) (int, string) {
		t.Helper()
		resp, text, err := r.call(t, http.MethodPost, "/batch/j1", body, map[string]string{platform.HeaderAttempt: "j1", platform.HeaderDeadline: "900"})
		require.NoError(t, err)
		return resp.StatusCode, text
	}
	get := func(t *testing.T, r *rig, path string) (int, string) {
		t.Helper()
		resp, text, err := r.call(t, http.MethodGet, path, "", nil)
		require.NoError(t, err)
		return resp.StatusCode, text
	}
	t.Run("a job is accepted once and again", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		for range 2 {
			status, text := submit(t, r, string(body))
			require.Equal(t, http.StatusAccepted, status, text)
		}
		require.EqualValues(t, 1, r.kv.Counts().Writes)
	})
	t.Run("a faulty job names its fault", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		status, text := submit(t, r, `{"model":"m","items":[{"id":"t1"}]}`)
		require.Equal(t, http.StatusBadRequest, status)
		require.Contains(t, text, "tasks[0].path")
	})
	t.Run("bodies and results without an owner come from the store", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		submit(t, r, string(body))
		status, text := get(t, r, platform.PathTasks+"j1?id=t1")
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "hello", text)
		status, text = get(t, r, platform.PathJobs+"j1?after=0")
		require.Equal(t, http.StatusOK, status)
		require.JSONEq(t, `{"total":1,"nextToken":0,"results":[]}`, text)
	})
	t.Run("unknown is told from unsure", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		status, _ := get(t, r, platform.PathJobs+"j2")
		require.Equal(t, http.StatusNotFound, status)
		r.steady.Store(false)
		status, _ = get(t, r, platform.PathJobs+"j2")
		require.Equal(t, http.StatusServiceUnavailable, status)
		r.steady.Store(true)
		r.kv.SetFaults(stand.KVFaults{Out: true})
		status, _ = get(t, r, platform.PathJobs+"j2")
		require.Equal(t, http.StatusServiceUnavailable, status)
	})
	t.Run("a submission without an answer promises nothing", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		r.kv.SetFaults(stand.KVFaults{Out: true})
		status, text := submit(t, r, string(body))
		require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, status, text)
	})
	t.Run("a submission that surely was not stored is refused", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		r.kv.Close()
		status, text := submit(t, r, string(body))
		require.Equal(t, http.StatusServiceUnavailable, status, text)
	})
}

func TestLookup(t *testing.T) {
	ask := func(t *testing.T, r *rig) (int, string) {
		t.Helper()
		resp, err := http.Get("http://" + r.lookup + platform.PathLookup + "?name=" + host)
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(data)
	}
	set := func(r *rig, members map[string]board.MemberState) {
		r.board.Update(func(s *board.State) {
			clear(s.Members)
			for id, state := range members {
				s.Members[id] = board.Member{ID: id, HTTP: id + ":1", State: state}
			}
		})
	}
	r := newRig(t)
	status, _ := ask(t, r)
	require.Equal(t, http.StatusServiceUnavailable, status)
	set(r, map[string]board.MemberState{"a": board.Alive, "b": board.Alive, "c": board.Draining})
	_, text := ask(t, r)
	require.JSONEq(t, `{"addrs":["a:1","b:1"],"ttlS":1}`, text)
	t.Run("an entry that lapses while the store is not well stays", func(t *testing.T) {
		r.steady.Store(false)
		set(r, map[string]board.MemberState{"b": board.Alive})
		_, text := ask(t, r)
		require.JSONEq(t, `{"addrs":["a:1","b:1"],"ttlS":1}`, text)
	})
	t.Run("and goes when it is", func(t *testing.T) {
		r.steady.Store(true)
		_, text := ask(t, r)
		require.JSONEq(t, `{"addrs":["b:1"],"ttlS":1}`, text)
	})
	t.Run("fronts that drain are named when no other is left", func(t *testing.T) {
		set(r, map[string]board.MemberState{"b": board.Draining, "c": board.Draining})
		_, text := ask(t, r)
		require.JSONEq(t, `{"addrs":["b:1","c:1"],"ttlS":1}`, text)
	})
	t.Run("a node is ready with a configuration, until it drains", func(t *testing.T) {
		status := func() int {
			resp, err := http.Get("http://" + r.ready + platform.PathReady)
			require.NoError(t, err)
			_ = resp.Body.Close()
			return resp.StatusCode
		}
		require.Equal(t, http.StatusServiceUnavailable, status())
		r.configure()
		require.Equal(t, http.StatusOK, status())
		r.entry.Drain()
		require.Equal(t, http.StatusServiceUnavailable, status())
	})
}

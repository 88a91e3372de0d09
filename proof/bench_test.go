package proof_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/client"
	"quetzalpier/model"
	"quetzalpier/stand"
	"quetzalpier/train"
)

// usage is the processor time and the resident memory of a node's process.
type usage struct {
	cpu    time.Duration
	memory int64
}

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

func (n *runningNode) usage(tb testing.TB) usage {
	tb.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
	require.NoError(tb, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return usage{time.Duration(user+system) * clockTick, pages * int64(os.Getpagesize())}
}

// runLoad sends requests from several workers for the given time and returns the
// number of successful requests.
func runLoad(tb testing.TB, workers int, d time.Duration, send func(client *fasthttp.Client, worker, i int) error) int {
	tb.Helper()
	var done atomic.Int64
	end := time.Now().Add(d)
	var all conc.WaitGroup
	for w := range workers {
		all.Go(func() {
			httpClient := client.NewSingleAttempt()
			for i := 0; time.Now().Before(end); i++ {
				if err := send(httpClient, w, i); err != nil {
					tb.Error(err)
					return
				}
				done.Add(1)
			}
		})
	}
	all.Wait()
	return int(done.Load())
}

func fetch(client *fasthttp.Client, method, url, body string) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	req.Header.Set("Quetzalpier-Caller", "app")
	req.SetBodyString(body)
	if err := client.Do(req, resp); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	return nil
}

const loadTime = 5 * time.Second

// BenchmarkGate compares requests through one node with requests sent directly to
// the upstream, and reports the node's processor time per request.
func BenchmarkGate(b *testing.B) {
	r := newRig(b, rigOptions{plains: 1, engines: 2, params: model.Params{BaseTime: time.Millisecond, Slots: 64, CacheSize: 32, TokensPerStep: 16}})
	r.startProcesses(1)
	node := r.nodes[1]
	measure := func(b *testing.B, workers int, direct, through func(client *fasthttp.Client, worker, i int) error) {
		b.Helper()
		for range b.N {
			directRequests := runLoad(b, workers, loadTime, direct)
			before := node.usage(b)
			throughRequests := runLoad(b, workers, loadTime, through)
			after := node.usage(b)
			b.ReportMetric(float64(throughRequests)/float64(directRequests), "through/direct")
			b.ReportMetric(float64(throughRequests)/loadTime.Seconds(), "req/s")
			b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/float64(throughRequests), "cpu-µs/req")
			b.ReportMetric(float64(after.memory)/(1<<20), "MB")
		}
	}
	b.Run("plain", func(b *testing.B) {
		get := func(url string) func(*fasthttp.Client, int, int) error {
			return func(client *fasthttp.Client, w, _ int) error {
				return fetch(client, "GET", fmt.Sprintf("%s/%d", url, w), "")
			}
		}
		measure(b, 8, get("http://"+r.plains[0].Addr), get("http://"+node.addr+"/svc/svc"))
	})
	stream := func(addr string, tokens int) func(*fasthttp.Client, int, int) error {
		return func(client *fasthttp.Client, w, i int) error {
			body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`, fmt.Sprintf("%s %d %d", longPrompt, w, i), tokens)
			return fetch(client, "POST", "http://"+addr+"/v1/completions", body)
		}
	}
	b.Run("stream of up to 64 tokens", func(b *testing.B) {
		measure(b, 16, stream(r.engines[0].Addr(), 64), stream(node.addr, 64))
	})
	b.Run("stream of up to 1024 tokens", func(b *testing.B) {
		measure(b, 16, stream(r.engines[0].Addr(), 1024), stream(node.addr, 1024))
	})
	b.Run("idle", func(b *testing.B) {
		for range b.N {
			before := node.usage(b)
			time.Sleep(loadTime)
			after := node.usage(b)
			b.ReportMetric(100*float64(after.cpu-before.cpu)/float64(loadTime), "core%")
			b.ReportMetric(float64(after.memory)/(1<<20), "MB")
		}
	})
}

// BenchmarkStep reports the owner's processor time per sample and per token, and
// its memory, for one complete step.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ samples, tokens int }{{256, 256}, {1024, 256}, {1024, 1024}} {
		b.Run(fmt.Sprintf("%d samples of up to %d tokens", size.samples, size.tokens), func(b *testing.B) {
			r := newRig(b, rigOptions{engines: 4, params: model.Params{BaseTime: 2 * time.Millisecond, Slots: 64, CacheSize: 64, TokensPerStep: 8}})
			r.startProcesses(1)
			node := r.nodes[1]
			for i := range b.N {
				tokens := 0
				client := train.New("t", r.addrs())
				client.Version, client.MaxAge = 1, 1
				before := node.usage(b)
				s := quetzalpier.Step{Number: uint64(i + 1), Pool: "m"}
				for g := range size.samples / 8 {
					s.Groups = append(s.Groups, quetzalpier.Group{ID: strconv.Itoa(g), Prompt: fmt.Sprintf("p%d-%d", i, g), Count: 8, Tokens: size.tokens})
				}
				require.NoError(b, client.OpenStep(b.Context(), s))
				for client.Remaining() > 0 {
					samples, _, err := client.Pull(b.Context(), time.Second)
					require.NoError(b, err)
					for _, sample := range samples {
						tokens += sample.Tokens
					}
				}
				after := node.usage(b)
				cpu := float64((after.cpu - before.cpu).Microseconds())
				b.ReportMetric(cpu/float64(size.samples), "cpu-µs/sample")
				b.ReportMetric(cpu/float64(tokens), "cpu-µs/token")
				b.ReportMetric(float64(after.memory)/(1<<20), "MB")
			}
		})
	}
}

// BenchmarkPilot reports how long a version takes to reach all engines, and the
// pilot's processor time per engine while no swap runs.
func BenchmarkPilot(b *testing.B) {
	for _, engines := range []int{10, 50, 90} {
		b.Run(fmt.Sprintf("%d engines", engines), func(b *testing.B) {
			r := newRig(b, rigOptions{engines: engines, swapTime: 300 * time.Millisecond})
			r.startProcesses(1)
			node := r.nodes[1]
			version := quetzalpier.Version(1)
			for range b.N {
				version++
				start := time.Now()
				r.publish(version)
				r.waitServing(version)
				took := time.Since(start)
				time.Sleep(2 * time.Second)
				before := node.usage(b)
				time.Sleep(loadTime)
				cpu := node.usage(b).cpu - before.cpu
				b.ReportMetric(took.Seconds(), "s/version")
				b.ReportMetric(float64(cpu.Microseconds())/loadTime.Seconds()/float64(engines), "cpu-µs/s/engine")
			}
		})
	}
}

// BenchmarkClaim reports the key-value calls per payout with an idempotency key,
// without those that an idle node makes.
func BenchmarkClaim(b *testing.B) {
	r := newRig(b, rigOptions{plains: 1})
	r.startProcesses(1)
	for range b.N {
		count := func() stand.KVCounts { return r.kv.Counts() }
		time.Sleep(time.Second)
		idleStart := count()
		time.Sleep(loadTime)
		idleEnd := count()
		n := runLoad(b, 8, loadTime, func(_ *fasthttp.Client, w, i int) error {
			a := sendPayout(r.nodes[1].addr, fmt.Sprintf("bench-%d-%d", w, i))
			if a.status != fasthttp.StatusOK {
				body, _ := json.Marshal(a.refusal)
				return fmt.Errorf("%v %d %s", a.err, a.status, body)
			}
			return nil
		})
		time.Sleep(2 * time.Second)
		after := count()
		b.ReportMetric(float64(after.Writes-idleEnd.Writes-(idleEnd.Writes-idleStart.Writes))/float64(n), "writes/payout")
		b.ReportMetric(float64(after.Reads-idleEnd.Reads-(idleEnd.Reads-idleStart.Reads))/float64(n), "reads/payout")
		b.ReportMetric(float64(n)/loadTime.Seconds(), "payouts/s")
	}
}

package runner_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/platform"
	"quetzalpier/stand"
)

// startOdd starts a server that gives a scripted answer to the first two requests, and others
// by the function.
func startOdd(t *testing.T, odd stand.ScriptedAnswer, whole func(*fasthttp.Request) string) (*stand.Scripted, *atomic.Int32) {
	t.Helper()
	requests := &atomic.Int32{}
	server, err := stand.NewScripted(func(req *fasthttp.Request) stand.ScriptedAnswer {
		if requests.Add(1) <= 2 {
			return odd
		}
		return stand.ScriptedAnswer{Parts: []string{whole(req)}}
	})
	require.NoError(t, err)
	return server, requests
}

// TestOddRun guards against results of runs and reward calls whose answers ended too soon or were
// malformed.
func TestOddRun(t *testing.T) {
	const (
		id      = platform.HeaderAttempt + ": j-0\r\n"
		version = platform.HeaderWeightVersion + ": 1\r\n"
		head    = "HTTP/1.1 200 OK\r\n" + id + version
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
	)
	event := func(n int) string { return fmt.Sprintf("id: %d\ndata: j-0-%d\n\n", n, n) }
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	rest := func(req *fasthttp.Request) string {
		last := 0
		_, _ = fmt.Sscan(string(req.Header.Peek(platform.HeaderLastEventID)), &last)
		text := head + chunked
		for n := last + 1; n <= 3; n++ {
			text += chunk(event(n))
		}
		return text + "0\r\n\r\n"
	}
	score := func(*fasthttp.Request) string {
		return "HTTP/1.1 200 OK\r\n" + platform.HeaderAttempt + ": rj-0\r\n" + platform.HeaderStamp + ": whole\r\nContent-Length: 0\r\n\r\n"
	}
	requireWhole := func(t *testing.T, run, reward stand.ScriptedAnswer) {
		t.Helper()
		t.Parallel()
		r := newFixture(t, 1)
		engine, _ := startOdd(t, run, rest)
		scorer, _ := startOdd(t, reward, score)
		vm, scored := r.engines[0].VM(), r.scorer.VM()
		vm.ID, vm.Addr, scored.ID, scored.Addr = "odd", engine.Addr, "scorer", scorer.Addr
		r.board.Update(func(s *board.State) { s.SetListed([]quetzalpier.VM{vm, scored}, time.Now()) })
		t.Cleanup(func() { engine.Close(); scorer.Close() })
		r.putJob(t, newJob("j", 1, 3))
		result := r.waitResults(t, "j", 1)["j-0"]
		require.True(t, result.Done)
		require.Equal(t, eventText("j-0", 3), result.Text)
		require.Equal(t, "whole", result.Score)
	}
	wholeRun := stand.ScriptedAnswer{Parts: []string{rest(&fasthttp.Request{})}}
	wholeReward := stand.ScriptedAnswer{Parts: []string{score(nil)}}
	failed := func(status, header string) string { return "HTTP/1.1 " + status + "\r\n" + header }
	for name, run := range map[string]stand.ScriptedAnswer{
		"cut in the head":           {Parts: []string{head + "Transfer-Enc"}, Ending: stand.CloseConn},
		"cut before an event":       {Parts: []string{head + chunked}, Ending: stand.CloseConn},
		"cut after an event":        {Parts: []string{head + chunked + chunk(event(1))}, Ending: stand.CloseConn},
		"cut in an event":           {Parts: []string{head + chunked + chunk(event(1)+"id: 2\n")}, Ending: stand.CloseConn},
		"reset, without a length":   {Parts: []string{head + "\r\n" + event(1)}, Ending: stand.ResetConn},
		"ended after a version":     {Parts: []string{head + chunked + chunk(event(1)+platform.VersionLine(1)) + "0\r\n\r\n"}},
		"in another protocol":       {Parts: []string{strings.Replace(head, "1.1", "1.0", 1) + chunked + chunk(event(1))}, Ending: stand.CloseConn},
		"a task error that is cut":  {Parts: []string{failed("422 Unprocessable Entity", id) + "Content-Length: 9\r\n\r\n"}, Ending: stand.CloseConn},
		"a task error without ID":   {Parts: []string{failed("422 Unprocessable Entity", "") + "Content-Length: 0\r\n\r\n"}},
		"an engine error, cut":      {Parts: []string{failed("500 Internal Server Error", id) + "Content-Length: 9\r\n\r\n"}, Ending: stand.CloseConn},
		"an engine error, no ID":    {Parts: []string{failed("500 Internal Server Error", "") + "Content-Length: 0\r\n\r\n"}},
		"another task's task error": {Parts: []string{failed("422 Unprocessable Entity", platform.HeaderAttempt+": j-1\r\n") + "Content-Length: 0\r\n\r\n"}, Ending: stand.CloseConn},
	} {
		t.Run("run "+name, func(t *testing.T) { requireWhole(t, run, wholeReward) })
	}
	for _, variant := range stand.AnswerVariants("200 OK", id+version, event(1)+event(2)+event(3)) {
		t.Run("run with "+variant.Name, func(t *testing.T) {
			requireWhole(t, stand.ScriptedAnswer{Parts: []string{variant.Text}, Ending: stand.CloseConn}, wholeReward)
		})
	}
	rewardHead := "HTTP/1.1 200 OK\r\n" + platform.HeaderAttempt + ": rj-0\r\n" + platform.HeaderStamp + ": cut\r\n"
	for name, reward := range map[string]stand.ScriptedAnswer{
		"cut in the head":    {Parts: []string{rewardHead + "Content-"}, Ending: stand.CloseConn},
		"cut in the body":    {Parts: []string{rewardHead + "Content-Length: 4\r\n\r\npai"}, Ending: stand.CloseConn},
		"no length, reset":   {Parts: []string{rewardHead + "\r\n"}, Ending: stand.ResetConn},
		"no last chunk":      {Parts: []string{rewardHead + chunked + chunk("paid")}, Ending: stand.CloseConn},
		"an error, cut":      {Parts: []string{failed("500 Internal Server Error", platform.HeaderAttempt+": rj-0\r\n") + "Content-Length: 9\r\n\r\n"}, Ending: stand.CloseConn},
		"an interim one":     {Parts: []string{strings.Replace(rewardHead, "200 OK", "103 Early Hints", 1) + "\r\n"}, Ending: stand.CloseConn},
		"another call's ID":  {Parts: []string{strings.Replace(rewardHead, "rj-0", "rj-1", 1) + "Content-Length: 0\r\n\r\n"}},
		"without its ID":     {Parts: []string{"HTTP/1.1 200 OK\r\n" + platform.HeaderStamp + ": cut\r\nContent-Length: 0\r\n\r\n"}},
		"without its digest": {Parts: []string{"HTTP/1.1 200 OK\r\n" + platform.HeaderAttempt + ": rj-0\r\nContent-Length: 0\r\n\r\n"}},
	} {
		t.Run("reward "+name, func(t *testing.T) { requireWhole(t, wholeRun, reward) })
	}
	for _, variant := range stand.AnswerVariants("200 OK", platform.HeaderAttempt+": rj-0\r\n"+platform.HeaderStamp+": odd\r\n", "paid") {
		if variant.Valid {
			continue
		}
		t.Run("reward with "+variant.Name, func(t *testing.T) {
			requireWhole(t, wholeRun, stand.ScriptedAnswer{Parts: []string{variant.Text}, Ending: stand.CloseConn})
		})
	}
}

package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/stand"
)

// requireNoOddBytes requires that the client gets nothing of what makes an answer malformed.
func requireNoOddBytes(t *testing.T, raw string) {
	t.Helper()
	for _, part := range []string{"Odd", "More", "Sum", "Li\x01nk", "Li nk"} {
		require.NotContains(t, raw, part)
	}
}

// TestMalformedAnswer guards against answers outside the protocol that are repaired on the way: one
// with status 000 reached clients as one with 200, and a blank or a line feed in a name of its
// header was passed on or changed where its body ends.
func TestMalformedAnswer(t *testing.T) {
	for _, variant := range stand.AnswerVariants("200 OK", signed, "paid") {
		for _, path := range []string{"/safe/odd", "/once/odd"} {
			t.Run(variant.Name+", "+path, func(t *testing.T) {
				t.Parallel()
				s := newScripted(t, stand.ScriptedAnswer{Parts: []string{variant.Text}, Ending: stand.CloseConn})
				s.requireWhole(t)
				if variant.Valid {
					resp, raw, err := s.request(t, http.MethodPost, path)
					require.NoError(t, err, raw)
					require.Equal(t, http.StatusOK, resp.StatusCode)
					require.True(t, strings.HasSuffix(raw, "\r\n\r\npaid"), raw)
				} else {
					s.requireFailed(t, http.MethodPost, path)
					requireNoOddBytes(t, s.raw.String())
				}
				s.requireWhole(t)
			})
		}
	}
}

// TestStatusIsUnchanged guards against statuses inside the protocol that are refused or changed.
func TestStatusIsUnchanged(t *testing.T) {
	for _, status := range []int{200, 201, 206, 299, 300, 399, 400, 404, 418, 499, 500, 501, 599} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			s := newScripted(t, stand.ScriptedAnswer{Parts: []string{fmt.Sprintf("HTTP/1.1 %d Odd\r\n", status) + signed + length + body}})
			resp, raw, err := s.request(t, http.MethodPost, "/once/odd")
			require.NoError(t, err, raw)
			require.Equal(t, status, resp.StatusCode)
			require.True(t, strings.HasSuffix(raw, "\r\n\r\npaid"), raw)
		})
	}
}

// TestMalformedStream guards against streams whose answers are outside the protocol: of one that
// has begun, the client can tell that it is not whole.
func TestMalformedStream(t *testing.T) {
	for _, variant := range stand.AnswerVariants("200 OK", signed, oneEvent) {
		t.Run(variant.Name, func(t *testing.T) {
			t.Parallel()
			s := newScripted(t, stand.ScriptedAnswer{Parts: []string{variant.Text}, Ending: stand.CloseConn})
			resp, raw, err := s.request(t, http.MethodPost, "/unresumable/odd")
			switch {
			case variant.Valid:
				require.NoError(t, err, raw)
				require.True(t, strings.HasSuffix(raw, eventChunk(oneEvent)+lastChunk), raw)
			case err == nil:
				require.Equal(t, http.StatusBadGateway, resp.StatusCode, raw)
				require.NotContains(t, raw, "data: x")
			default:
				require.Equal(t, streamHead+eventChunk(oneEvent), raw)
				_, err = s.reader.ReadByte()
				require.ErrorIs(t, err, io.EOF, "the connection must be closed")
			}
			requireNoOddBytes(t, raw)
		})
	}
}

// TestResumedMalformedStream guards against a stream that is resumed with a malformed answer, and
// against one whose events come twice after a malformed trailer.
func TestResumedMalformedStream(t *testing.T) {
	second := "id: 2\ndata: y\n\n"
	for _, variant := range stand.AnswerVariants("200 OK", signed, second) {
		t.Run(variant.Name, func(t *testing.T) {
			t.Parallel()
			s := newScripted(t, stand.ScriptedAnswer{})
			var odd atomic.Bool
			s.replaceWorkerBy(t, func(req *fasthttp.Request) stand.ScriptedAnswer {
				after := string(req.Header.Peek(platform.HeaderLastEventID))
				switch {
				case after == "":
					return stand.ScriptedAnswer{Parts: []string{head + chunked + "\r\n" + eventChunk(oneEvent)}, Ending: stand.CloseConn}
				case after == "1" && odd.CompareAndSwap(false, true):
					return stand.ScriptedAnswer{Parts: []string{variant.Text}, Ending: stand.CloseConn}
				case after == "1":
					return stand.ScriptedAnswer{Parts: []string{head + chunked + "\r\n" + eventChunk(second) + lastChunk}}
				}
				return stand.ScriptedAnswer{Parts: []string{head + chunked + "\r\n" + lastChunk}}
			})
			_, raw, err := s.request(t, http.MethodPost, "/stream/odd")
			require.NoError(t, err, raw)
			require.Equal(t, streamHead+eventChunk(oneEvent)+eventChunk(second)+lastChunk, raw)
		})
	}
}

// TestMalformedAnswerRunsOnce guards against a request that is sent again, or said not to have run,
// after a malformed answer, and against an upstream that goes on getting requests.
func TestMalformedAnswerRunsOnce(t *testing.T) {
	for _, variant := range stand.AnswerVariants("200 OK", signed, "paid") {
		if variant.Valid {
			continue
		}
		t.Run(variant.Name, func(t *testing.T) {
			t.Parallel()
			s := newScripted(t, stand.ScriptedAnswer{})
			var sent atomic.Int32
			s.replaceWorkerBy(t, func(*fasthttp.Request) stand.ScriptedAnswer {
				sent.Add(1)
				return stand.ScriptedAnswer{Parts: []string{variant.Text}, Ending: stand.CloseConn}
			})
			resp, raw, err := s.request(t, http.MethodPost, "/once/odd")
			require.NoError(t, err, raw)
			require.Equal(t, http.StatusBadGateway, resp.StatusCode, "it may have run: no 503 or 429")
			require.Empty(t, resp.Header.Get(platform.HeaderNotRun))
			require.EqualValues(t, 1, sent.Load())
		})
	}
	for _, name := range []string{"status 000", "a blank in a name", "a line feed before the length's name", "a blank in a trailer's name"} {
		t.Run("another upstream is preferred, "+name, func(t *testing.T) {
			t.Parallel()
			const requests = 60
			s := newScripted(t, stand.ScriptedAnswer{})
			s.replaceWorker(t, stand.ScriptedAnswer{})
			var text string
			for _, variant := range stand.AnswerVariants("200 OK", signed, "paid") {
				if variant.Name == name {
					text = variant.Text
				}
			}
			require.NotEmpty(t, text)
			var sent atomic.Int32
			odd, err := stand.NewScripted(func(*fasthttp.Request) stand.ScriptedAnswer {
				sent.Add(1)
				return stand.ScriptedAnswer{Parts: []string{text}, Ending: stand.CloseConn}
			})
			require.NoError(t, err)
			t.Cleanup(odd.Close)
			vm := func(w *stand.Scripted) quetzalpier.VM {
				return quetzalpier.VM{ID: w.Addr, Addr: w.Addr, Pool: "p", Kind: quetzalpier.KindPlain, State: quetzalpier.VMLive, Slots: 6, Software: "v1"}
			}
			s.setUpstreams(vm(s.worker), vm(odd))
			for range requests {
				s.requireWhole(t)
			}
			require.Positive(t, sent.Load())
			require.Less(t, sent.Load(), int32(requests/4), "it goes on getting requests")
		})
	}
}

package link_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/client"
	"quetzalpier/link"
	"quetzalpier/stand"
)

// TestMalformedAnswer guards against malformed answers that count as whole, or as not run, and
// against connections that are used again after one.
func TestMalformedAnswer(t *testing.T) {
	for _, variant := range stand.AnswerVariants("200 OK", "", "paid") {
		t.Run(variant.Name, func(t *testing.T) {
			t.Parallel()
			var text atomic.Pointer[string]
			whole := fullResponse
			u := startUpstream(t, func(conn net.Conn) bool {
				for readRequest(conn) {
					_, _ = io.WriteString(conn, *text.Load())
				}
				return false
			})
			links := link.New()
			defer links.Close()
			call := newCall(u.addr())
			call.Fresh = false
			text.Store(&variant.Text)
			body, err := attempt(t.Context(), links, call)
			text.Store(&whole)
			if variant.Valid {
				require.NoError(t, err)
				require.Equal(t, "paid", string(body))
			} else {
				linkErr := requireLinkError(t, err)
				require.Equal(t, quetzalpier.RanUnknown, linkErr.Ran())
				require.False(t, linkErr.Silent, "it was refused before its time was up")
				require.Contains(t, []link.Stage{link.StageHeader, link.StageBody}, linkErr.Stage)
				for _, part := range []string{"Odd", "More", "HTTP/", "paid"} {
					require.NotContains(t, err.Error(), part, "the error quotes the answer")
				}
			}
			_, err = attempt(t.Context(), links, call)
			require.NoError(t, err)
			require.Equal(t, variant.Valid, u.conns.Load() == 1)
		})
	}
}

// TestMalformedHeaderIsRefusedAtOnce guards against the wait for the rest of a header that is
// malformed already.
func TestMalformedHeaderIsRefusedAtOnce(t *testing.T) {
	for name, begin := range map[string]string{"status": "HTTP/1.1 000 OK\r\n", "name": "HTTP/1.1 200 OK\r\nX Odd: y\r\n"} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, func(conn net.Conn) bool {
				ran := readRequest(conn)
				_, _ = io.WriteString(conn, begin)
				stall(conn)
				return ran
			})
			_, err := attempt(t.Context(), link.New(), newCall(u.addr()))
			var malformed *client.MalformedError
			require.ErrorAs(t, err, &malformed)
			require.Equal(t, client.PartHeader, malformed.Part)
			require.False(t, requireLinkError(t, err).Silent)
		})
	}
}

// TestForeignMalformedAnswer guards against a malformed answer to an earlier request that is
// skipped, though where it ends is not known.
func TestForeignMalformedAnswer(t *testing.T) {
	for _, variant := range stand.AnswerVariants("200 OK", "Id: other\r\n", "paid") {
		t.Run(variant.Name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, func(conn net.Conn) bool {
				ran := readRequest(conn)
				_, _ = io.WriteString(conn, variant.Text+strings.Replace(fullResponse, "paid", "mine", 1))
				stall(conn)
				return ran
			})
			links := link.New()
			defer links.Close()
			call := newCall(u.addr())
			call.Foreign = isForeign
			body, err := attempt(t.Context(), links, call)
			if variant.Valid {
				require.NoError(t, err)
				require.Equal(t, "mine", string(body))
				return
			}
			require.Equal(t, quetzalpier.RanUnknown, requireLinkError(t, err).Ran())
		})
	}
}

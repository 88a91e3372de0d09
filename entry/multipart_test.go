package entry_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/platform"
)

// A body of the kind multipart/form-data reached the upstream changed, or not at all.
func TestMultipartBody(t *testing.T) {
	for name, body := range map[string]string{
		"preamble, epilogue and a part's own order of headers": "before\r\n--b\r\nX-A: 1\r\nContent-Disposition: form-data; name=z\r\n\r\n1\r\n--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n2\r\n--b--\r\nafter",
		"no form": "\x00\x01 no form at all",
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestEntry(t)
			r.setConfig()
			got := make(chan string, 1)
			vm := r.startRawServer(t, "u", got)
			r.setUpstreams(vm)
			resp, text, err := r.send(t, http.MethodPost, "/safe/x", body, map[string]string{"Content-Type": "multipart/form-data; boundary=b"})
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode, text)
			require.Equal(t, body, <-got)
		})
	}
}

// startRawServer starts an upstream that reports the bodies of requests as they were sent.
func (r *testEntry) startRawServer(t *testing.T, id string, bodies chan<- string) quetzalpier.VM {
	t.Helper()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		text, _ := io.ReadAll(req.Body)
		bodies <- string(text)
		w.Header().Set(platform.HeaderAttempt, req.Header.Get(platform.HeaderAttempt))
		w.Header().Set(platform.HeaderStamp, "stamp")
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return quetzalpier.VM{ID: id, Addr: listener.Addr().String(), Pool: "p", Kind: quetzalpier.KindPlain, State: quetzalpier.VMLive, Slots: 6}
}

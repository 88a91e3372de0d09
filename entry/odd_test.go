package entry_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalpier/platform"
)

// Guards against a client's deadline that is over at once, since it is negative after the
// conversion.
func TestHugeDeadlineIsNotOver(t *testing.T) {
	r := newTestEntry(t)
	r.setConfig()
	r.setUpstreams(r.startWorker(t, "w").VM())
	for _, deadline := range []string{"9223372036854775807", "9223372036855", "18446744073710", "315360000001"} {
		resp, _, err := r.send(t, http.MethodPost, "/safe/x", "body", map[string]string{platform.HeaderDeadline: deadline})
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode, deadline)
	}
}

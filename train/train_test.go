package train_test

import (
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/stand"
	"quetzalpier/train"
)

// TestMalformedResponse guards against a step that counts as opened after a malformed response.
func TestMalformedResponse(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for _, variant := range stand.AnswerVariants("200 OK", "", "{}") {
		t.Run(variant.Name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int32
			node, err := stand.NewScripted(func(req *fasthttp.Request) stand.ScriptedAnswer {
				if strings.Contains(string(req.Header.RequestURI()), "/steps/") && calls.Add(1) == 1 {
					return stand.ScriptedAnswer{Parts: []string{variant.Text}}
				}
				return stand.ScriptedAnswer{Parts: []string{whole}}
			})
			require.NoError(t, err)
			defer node.Close()
			trainer := train.New("t", []string{node.Addr})
			require.NoError(t, trainer.OpenStep(t.Context(), quetzalpier.Step{Number: 1}))
			require.Equal(t, !variant.Valid, trainer.Retries == 1)
		})
	}
}

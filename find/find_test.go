package find_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier/find"
	"quetzalpier/stand"
)

// TestMalformedList guards against lists of nodes in malformed responses.
func TestMalformedList(t *testing.T) {
	for _, variant := range stand.AnswerVariants("200 OK", "", `{"nodes":["127.0.0.9:1"],"keep":10000}`) {
		t.Run(variant.Name, func(t *testing.T) {
			t.Parallel()
			node, err := stand.NewScripted(func(*fasthttp.Request) stand.ScriptedAnswer {
				return stand.ScriptedAnswer{Parts: []string{variant.Text}}
			})
			require.NoError(t, err)
			defer node.Close()
			resolver := &find.Resolver{Caller: "c", Seeds: []string{node.Addr}}
			want := node.Addr
			if variant.Valid {
				want = "127.0.0.9:1"
			}
			require.Equal(t, want, resolver.Addr(time.Now()))
		})
	}
}

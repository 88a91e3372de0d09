package quetzalpier_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"quetzalpier"
)

func TestSpans(t *testing.T) {
	cases := []struct {
		name   string
		spans  quetzalpier.Spans
		tokens int
		field  string
	}{
		{"complete", quetzalpier.Spans{{Version: 1, From: 0, To: 3}, {Version: 2, From: 3, To: 5}}, 5, ""},
		{"gap", quetzalpier.Spans{{Version: 1, From: 0, To: 3}, {Version: 2, From: 4, To: 5}}, 5, "spans[1]"},
		{"overlap", quetzalpier.Spans{{Version: 1, From: 0, To: 3}, {Version: 2, From: 2, To: 5}}, 5, "spans[1]"},
		{"empty span", quetzalpier.Spans{{Version: 1, From: 0, To: 0}}, 0, "spans[0]"},
		{"too short", quetzalpier.Spans{{Version: 1, From: 0, To: 3}}, 5, "spans"},
		{"no spans", nil, 5, "spans"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := c.spans.Validate(c.tokens)
			if c.field == "" {
				require.NoError(t, err)
				return
			}
			var fieldErr *quetzalpier.FieldError
			require.True(t, errors.As(err, &fieldErr))
			require.Equal(t, c.field, fieldErr.Field)
		})
	}
	t.Run("a sample without spans is never fresh", func(t *testing.T) {
		require.False(t, quetzalpier.Sample{}.Fresh(1, 100))
	})
}

func ExampleSample_Age() {
	var spans quetzalpier.Spans
	spans = spans.Append(4, 10)
	spans = spans.Append(4, 5)
	spans = spans.Append(6, 20)
	sample := quetzalpier.Sample{Tokens: 35, Spans: spans}
	age, _ := sample.Age(7)
	fmt.Println(len(spans), age, sample.Fresh(7, 2))
	// Output: 2 3 false
}

func ExampleBitmap() {
	var have quetzalpier.Bitmap
	have = have.Set(3).Set(1000)
	fmt.Println(have.Has(3), have.Has(4), have.Count(), len(have))
	// Output: true false 2 126
}

// FuzzDecode checks that the decoders don't panic, and that a document which
// they accept still decodes after it is encoded again.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"trainer":"t","number":1,"pool":"m","groups":[{"id":"g","prompt":"p","count":2,"tokens":3}]}`,
		`{"index":1,"tokens":2,"spans":[{"version":1,"from":0,"to":2}]}`,
		`{"have":"AQ==","version":1,"wait":5}`,
		`{"number":1,"pools":{"m":{"kind":"engine","serving":0.5}},"callers":{"a":{"class":"rollout"}}}`,
		`{"number":1,"vms":[{"id":"a","addr":"127.0.0.1:1","kind":"plain","state":"live"}]}`,
		`{"pool":"m","version":1}`, `{"groups":[{"count":-1}]}`, `[]`, `{`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, value := range []any{
			&quetzalpier.Step{}, &quetzalpier.Sample{}, &quetzalpier.Pull{}, &quetzalpier.Config{}, &quetzalpier.VMList{}, &quetzalpier.Publish{},
		} {
			if json.Unmarshal(data, value) != nil {
				continue
			}
			encoded, err := json.Marshal(value)
			require.NoError(t, err)
			require.NoError(t, json.Unmarshal(encoded, value), "%T: %s", value, encoded)
		}
	})
}

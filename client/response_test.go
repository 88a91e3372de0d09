package client_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier/client"
	"quetzalpier/stand"
)

func ExampleReadHeader() {
	received := bufio.NewReader(strings.NewReader("HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\npaid"))
	fmt.Println(client.ReadHeader(received, &fasthttp.ResponseHeader{}))
	// Output: malformed response header: invalid status line
}

func ExampleNewBody() {
	received := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npaid\r\n0\r\nX Sum: 1\r\n\r\n"))
	var header fasthttp.ResponseHeader
	if err := client.ReadHeader(received, &header); err != nil {
		fmt.Println(err)
		return
	}
	text, err := io.ReadAll(client.NewBody(received, &header, false))
	fmt.Printf("%s, %v\n", text, err)
	// Output: paid, malformed response trailer: invalid field name
}

// readerBytes is the size of the buffer that responses are read through.
const readerBytes = 4 << 10

// read reads a response, and returns its body and what follows it.
func read(received io.Reader, isHead bool) (header *fasthttp.ResponseHeader, body, rest []byte, err error) {
	reader := bufio.NewReaderSize(received, readerBytes)
	header = &fasthttp.ResponseHeader{}
	if err = client.ReadHeader(reader, header); err != nil {
		return header, nil, nil, err
	}
	if stream := client.NewBody(reader, header, isHead); stream != nil {
		if body, err = io.ReadAll(stream); err != nil {
			return header, body, nil, err
		}
	}
	rest, err = io.ReadAll(reader)
	return header, body, rest, err
}

func TestReadResponse(t *testing.T) {
	for _, variant := range stand.AnswerVariants("200 OK", "X-A: b\r\n", "paid") {
		for arrival, received := range map[string]func(io.Reader) io.Reader{
			"at once":      func(r io.Reader) io.Reader { return r },
			"byte by byte": iotest.OneByteReader,
			"with its end": iotest.DataErrReader,
		} {
			t.Run(variant.Name+", "+arrival, func(t *testing.T) {
				const next = "HTTP/1.1 404 Not Found\r\n\r\n"
				header, body, rest, err := read(received(strings.NewReader(variant.Text+next)), false)
				if !variant.Valid {
					require.Error(t, err)
					return
				}
				require.NoError(t, err)
				require.Equal(t, 200, header.StatusCode())
				require.Equal(t, "b", string(header.Peek("X-A")))
				require.Equal(t, "paid", string(body))
				require.Equal(t, next, string(rest))
			})
		}
	}
	for _, c := range []struct {
		name, text, body string
		isHead           bool
	}{
		{"no fields", "HTTP/1.1 200 OK\r\n\r\npaid", "paid", false},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", "", false},
		{"not modified", "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", "", false},
		{"to HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "", true},
		{"to HEAD, in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "", true},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\npaid", "paid", false},
		{"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", false},
		{"no chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "", false},
		{"most interim ones", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100) + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npaid", "paid", false},
		{"a large header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", readerBytes-len("HTTP/1.1 200 OK\r\nX: \r\n\r\n")) + "\r\n\r\npaid", "paid", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, body, rest, err := read(strings.NewReader(c.text), c.isHead)
			require.NoError(t, err)
			require.Equal(t, c.body, string(body))
			require.Empty(t, rest)
		})
	}
	for name, text := range map[string]string{
		"too many interim ones":     strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 101) + "HTTP/1.1 200 OK\r\n\r\n",
		"a header without end":      "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", readerBytes),
		"a line without end":        "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 2*readerBytes),
		"a status line without end": "HTTP/1.1 200 " + strings.Repeat("y", 2*readerBytes),
		"a trailer without end":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("X: y\r\n", readerBytes),
	} {
		t.Run(name, func(t *testing.T) {
			_, _, _, err := read(strings.NewReader(text), false)
			var malformed *client.MalformedError
			require.ErrorAs(t, err, &malformed)
		})
	}
	t.Run("nothing", func(t *testing.T) {
		_, _, _, err := read(strings.NewReader(""), false)
		require.Equal(t, io.EOF, err)
	})
	t.Run("cut", func(t *testing.T) {
		const whole = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a\r\npa\r\n2\r\nid\r\n0\r\nX: y\r\n\r\n"
		for n := 1; n < len(whole); n++ {
			_, _, _, err := read(strings.NewReader(whole[:n]), false)
			require.Error(t, err, "cut after %q", whole[:n])
		}
	})
}

// validHeader matches the grammar of RFC 9112 for heads, of which the last is that of a final
// response. The blank before an empty reason may be missing.
var validHeader = regexp.MustCompile("^(HTTP/1\\.[0-9] [1-5][0-9]{2}( [^\x00-\x08\x0a-\x1f\x7f]*)?\r\n([!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f\x7f]*\r\n)*\r\n)+$")

func FuzzReadHeader(f *testing.F) {
	for _, variant := range stand.AnswerVariants("200 OK", "X-A: b\r\n", "paid") {
		f.Add([]byte(variant.Text))
	}
	f.Fuzz(func(t *testing.T, received []byte) {
		reader := bufio.NewReaderSize(bytes.NewReader(received), readerBytes)
		var header fasthttp.ResponseHeader
		if client.ReadHeader(reader, &header) != nil {
			return
		}
		rest, err := io.ReadAll(reader)
		require.NoError(t, err)
		head := received[:len(received)-len(rest)]
		require.Regexp(t, validHeader, string(head))
		lines := strings.Split(string(head), "\r\n")
		status := lines[0]
		for i, line := range lines[:len(lines)-2] {
			if i > 0 && lines[i-1] == "" {
				status = line
			}
		}
		require.Equal(t, status[len("HTTP/1.1 "):len("HTTP/1.1 200")], fmt.Sprint(header.StatusCode()))
	})
}

// Package client makes HTTP clients that make one attempt of each request:
// the library's own retries would break "at most once" and "not run".
package client

import "github.com/valyala/fasthttp"

// Single returns a client that never repeats a request.
func Single() *fasthttp.Client {
	return &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
	}
}

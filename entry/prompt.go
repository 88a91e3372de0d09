package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"quetzalpier/board"
	"quetzalpier/pace"
	"quetzalpier/platform"
	"quetzalpier/send"
)

// classifyPrompt sets what a job and its request say about the length of the prompt, and
// returns its class. A long one is less urgent at its engine while short ones run in the
// pool, unless the client set its urgency.
func (e *Entry) classifyPrompt(job *send.Job, req *fasthttp.Request, now time.Time) string {
	job.PromptTokens = platform.PromptTokens(string(req.Header.Peek(platform.HeaderPromptPrefix)))
	class, mixed := pace.ShortPrompt, false
	e.Board.Do(func(s *board.State) {
		class = pace.PromptClass(job.PromptTokens, s.LongPrompt)
		pace.ObservePrompt(s, job.Pool, job.PromptTokens, now)
		mixed = class == pace.LongPrompt && pace.SplitPool(s, job.Pool, now).Active()
	})
	if mixed && len(req.Header.Peek(platform.HeaderUrgency)) == 0 {
		req.Header.Set(platform.HeaderUrgency, platform.UrgencyLongPrompt)
	}
	return class
}

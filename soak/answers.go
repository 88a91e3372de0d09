package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"quetzalpier/platform"
	"quetzalpier/sleep"
	"quetzalpier/stand"
)

const (
	minAnswerPause = 20 * time.Millisecond
	maxAnswerPause = 900 * time.Millisecond
	// maxEventsBeforeError is the largest number of events before a stream breaks off that
	// another engine answers with an error.
	maxEventsBeforeError = 5
	// minLongBody and maxLongBody bound the sizes of long bodies: more than one packet, and
	// more than a connection buffers.
	minLongBody = 16 << 10
	maxLongBody = 1 << 20
)

var (
	answerKinds    = []stand.AnswerKind{stand.AnswerCut, stand.AnswerReset, stand.AnswerChunked, stand.AnswerPause, stand.AnswerEarly, stand.AnswerTwice}
	resumeStatuses = []int{301, 400, 404, 409, 422, 500, 502}
)

// breakAnswers makes upstreams break their answers, each for a time: at a drawn byte, with
// pauses, in chunks, before the request is read or with another one behind; or engines break
// streams off that others answer with an error. It leaves out one upstream of each pool, but
// for streams.
func (f *faultInjector) breakAnswers(ctx context.Context, total time.Duration) {
	for n, end := 0, time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; n++ {
		duration := f.draw(minFaultTime, maxFaultTime)
		if n%2 == 0 {
			f.failResumes(duration)
		} else {
			for _, pool := range [][]*stand.Worker{f.rig.Plains, f.rig.Engines} {
				sound := f.rnd.IntN(len(pool))
				for i, w := range pool {
					faults := stand.AnswerFaults{Kind: answerKinds[f.rnd.IntN(len(answerKinds))], Part: f.rnd.Float64(), Pause: f.draw(minAnswerPause, maxAnswerPause)}
					if i != sound {
						f.logFault(fmt.Sprintf("answer %s at %.3f", faults.Kind, faults.Part), w.ID, duration)
						w.SetFaults(stand.WorkerFaults{Answers: faults})
					}
				}
			}
		}
		sleep.For(ctx, duration)
		for _, w := range f.rig.workers() {
			w.SetFaults(stand.WorkerFaults{})
		}
		sleep.For(ctx, f.draw(0, minFaultPause))
	}
}

// failResumes makes all engines break new streams off and answer resumed ones with an error.
func (f *faultInjector) failResumes(duration time.Duration) {
	for _, w := range f.rig.Engines {
		faults := stand.WorkerFaults{CutAtEvent: 1 + f.rnd.IntN(maxEventsBeforeError+1)}
		faults.Answers.ResumeStatus = resumeStatuses[f.rnd.IntN(len(resumeStatuses))]
		faults.Answers.ResumePrefix = streamPath
		f.logFault(fmt.Sprintf("cut at %d, resume %d", faults.CutAtEvent, faults.Answers.ResumeStatus), w.ID, duration)
		w.SetFaults(faults)
	}
}

// sendLong sends requests with long bodies, with a length or in chunks, until ctx ends.
func (t *trainer) sendLong(ctx context.Context) {
	client := &http.Client{Timeout: callTimeout}
	for n := 0; sleep.For(ctx, pollInterval); n++ {
		id := fmt.Sprintf("long%d", n)
		body := id + strings.Repeat(fmt.Sprintf(" %08x", t.rnd.Uint32()), (minLongBody+t.rnd.IntN(maxLongBody-minLongBody))/9)
		path := fmt.Sprintf("%s%s?q=%d&r=%%20%%2F&r=", viewPath, id, n)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.randomFront()+path, strings.NewReader(body))
		if err != nil {
			continue
		}
		if t.rnd.IntN(2) == 0 {
			req.ContentLength = -1
		}
		req.Header.Set(platform.HeaderTokenCounts, "17,30")
		req.Header.Set(platform.HeaderPromptPrefix, "9c2e41:12,5d07b8:5")
		t.sendView(client, req, id)
	}
}

package wire

// ForeignReply returns the reply to a Keep message whose job has the ID of another customer's
// job: what is known of that one.
func ForeignReply() *Reply {
	return &Reply{Kind: &Reply_Results{Results: &Results{Known: true}}}
}

// IsForeign reports whether a reply to a Keep message states that the job has the ID of
// another customer's job.
func IsForeign(reply *Reply) bool { return reply.GetResults().GetKnown() }

package emulate

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
)

// Server-sent events of an answer in the platform's protocol.
const (
	tokenEvent          = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s \"},\"finish_reason\":null}]}\n\n"
	malformedTokenEvent = "data: {\"choices\":[{\"index\":0,\"del\n\n"
	usageEvent          = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\n"
	usageEventStart     = `data: {"choices":[],"usage":`
	doneEvent           = "data: [DONE]\n\n"
	loadComment         = ": Srv-Load: %s\n\n"
)

// tokenText returns the text of the n-th token, counted from 1.
func tokenText(n int) string { return "word" + strconv.Itoa(n) }

// writeToken writes the event of the n-th token. Write errors are ignored here: the caller's flush returns them.
func writeToken(w io.Writer, n int, malformed bool) {
	if malformed {
		fmt.Fprint(w, malformedTokenEvent)
		return
	}
	fmt.Fprintf(w, tokenEvent, tokenText(n))
}

// writeUsage writes the events that end an answer: the token usage, the end marker and the load report.
func writeUsage(w io.Writer, promptTokens, outputTokens, cachedTokens int, load string) {
	fmt.Fprintf(w, usageEvent+doneEvent+loadComment, promptTokens, outputTokens, cachedTokens, load)
}

// isCompleteAnswer reports whether text is a replica's complete answer of outputTokens tokens. It compares all
// bytes except the token usage and the load report, which depend on the replica's state.
func isCompleteAnswer(text []byte, outputTokens int) bool {
	for n := 1; n <= outputTokens; n++ {
		remaining, ok := bytes.CutPrefix(text, fmt.Appendf(nil, tokenEvent, tokenText(n)))
		if !ok {
			return false
		}
		text = remaining
	}
	usage, end, ok := bytes.Cut(text, []byte("\n\n"))
	return ok && bytes.HasPrefix(usage, []byte(usageEventStart)) && bytes.HasPrefix(end, []byte(doneEvent))
}

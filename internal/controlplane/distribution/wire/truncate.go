package wire

import (
	"strings"
	"unicode/utf8"

	"fernvane/internal/controlplane/distribution"
)

const ellipsis = "..."

// TruncateText returns a text that passes the validation of messages: valid UTF-8, truncated at a rune boundary if too long.
func TruncateText(text string) string {
	text = strings.ToValidUTF8(text, string(utf8.RuneError))
	if len(text) <= maxTextBytes {
		return text
	}
	end := maxTextBytes - len(ellipsis)
	for !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end] + ellipsis
}

// TruncateRejections returns the leading rejections up to the limit of a message, with their texts truncated.
func TruncateRejections(rejected []distribution.Rejection) []distribution.Rejection {
	bounded := make([]distribution.Rejection, 0, min(len(rejected), maxRejections))
	for _, r := range rejected[:cap(bounded)] {
		r.Key.Service, r.Key.Name, r.Reason = TruncateText(r.Key.Service), TruncateText(r.Key.Name), TruncateText(r.Reason)
		bounded = append(bounded, r)
	}
	return bounded
}

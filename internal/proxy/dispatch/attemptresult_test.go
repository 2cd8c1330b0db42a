package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"fernvane/policy"
)

func TestAttemptResultOutcomes(t *testing.T) {
	// Outcomes that the decision module takes as proof that the request was not executed.
	proofs := []policy.Outcome{policy.Overloaded, policy.Unreachable, policy.NotStarted}
	for result, c := range map[AttemptResult]struct{ isProof, isSuccess bool }{
		Succeeded: {false, true}, ErrorResponse: {}, ConnectionLost: {}, MalformedResponse: {}, ResponseTimeout: {}, Abandoned: {},
		RequestFault: {}, ServerRefused: {isProof: true}, ConnectRefused: {isProof: true}, ConnectTimeout: {isProof: true}, WriteFailed: {isProof: true}, StaleConnection: {isProof: true},
		NoDescriptor: {isProof: true}, ExpiredUnsent: {isProof: true},
	} {
		t.Run(result.String(), func(t *testing.T) {
			if slices.Contains(proofs, result.Outcome()) != c.isProof || (result.Outcome() == policy.Success) != c.isSuccess {
				t.Errorf("is outcome %d", result.Outcome())
			}
		})
	}
}

// TestAttemptResultNames compares the names and numbers of results with those in stored journals and log lines.
func TestAttemptResultNames(t *testing.T) {
	want := []string{"answered", "erred", "declined", "turned away", "refused", "never up", "unsent", "stale", "no room", "no time", "cut off",
		"garbled", "silent", "not kept", "given up"}
	var got []string
	for e := range attemptResultCount {
		got = append(got, e.String())
	}
	if !slices.Equal(got, want) {
		t.Errorf("the names are %q", got)
	}
	if values := fmt.Sprintf("%d %d %d", Succeeded, ServerRefused, Abandoned); values != "0 3 14" {
		t.Errorf("the values are %s", values)
	}
}

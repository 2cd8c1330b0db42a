package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"fernvane/policy"
)

// TestAttemptResultOutcomes checks which results prove that the request was not executed, and which are successes.
func TestAttemptResultOutcomes(t *testing.T) {
	// Outcomes that the decision module accepts as proof that the request was not executed.
	proofs := []policy.Outcome{policy.Overloaded, policy.Unreachable, policy.NotStarted}
	for result, c := range map[AttemptResult]struct{ isProof, isSuccess bool }{
		Succeeded: {false, true}, ErrorResponse: {}, ConnectionLost: {}, MalformedResponse: {}, ResponseTimeout: {}, Abandoned: {},
		RequestFault: {}, ServerRefused: {isProof: true}, ConnectRefused: {isProof: true}, ConnectTimeout: {isProof: true}, WriteFailed: {isProof: true}, StaleConnection: {isProof: true},
		NoDescriptor: {isProof: true}, ExpiredUnsent: {isProof: true},
	} {
		t.Run(result.String(), func(t *testing.T) {
			if slices.Contains(proofs, result.Outcome()) != c.isProof || (result.Outcome() == policy.Success) != c.isSuccess {
				t.Errorf("got outcome %d", result.Outcome())
			}
		})
	}
}

// TestAttemptResultNames checks the names and numbers of results, which stored journals and log lines contain.
func TestAttemptResultNames(t *testing.T) {
	want := []string{"answered", "erred", "declined", "turned away", "refused", "never up", "unsent", "stale", "no room", "no time", "cut off",
		"garbled", "silent", "not kept", "given up"}
	var got []string
	for result := range attemptResultCount {
		got = append(got, result.String())
	}
	if !slices.Equal(got, want) {
		t.Errorf("got names %q, want those in stored journals", got)
	}
	if values := fmt.Sprintf("%d %d %d", Succeeded, ServerRefused, Abandoned); values != "0 3 14" {
		t.Errorf("got values %s, want 0 3 14", values)
	}
}

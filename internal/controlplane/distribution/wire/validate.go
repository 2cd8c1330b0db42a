package wire

import (
	"fmt"
	"unicode/utf8"

	"fernvane/internal/controlplane/distribution"
)

// Limits of messages, in addition to those of package distribution.
const (
	maxStatuses   = 8192 // per message
	maxRejections = 64   // per message or status
	maxTextBytes  = 300  // per reason or name
)

func (m *Subscribe) validate() error {
	s := &m.Subscription
	if s.Name == "" || s.Role < distribution.RoleNode || s.Role > distribution.RoleReader {
		return fmt.Errorf("%w: subscriber name missing or role unknown", ErrOutOfBounds)
	}
	if err := validateTexts("name", s.Name, s.Region, s.Zone); err != nil {
		return err
	}
	if err := validateServices(s.Services); err != nil {
		return err
	}
	if err := validateServices(s.UnsyncedServices); err != nil {
		return err
	}
	return validateVector(s.Vector)
}

func (m *Batch) validate() error {
	if err := validateServices(m.ResetServices); err != nil {
		return err
	}
	if err := validateVector(m.Through); err != nil {
		return err
	}
	return validateVector(m.Pruned)
}

func (m *Acknowledge) validate() error {
	if err := validateRejections(m.Acknowledgement.Rejected); err != nil {
		return err
	}
	return validateVector(m.Acknowledgement.Applied)
}

func (m *Digests) validate() error {
	for name := range m.Digests.Services {
		if err := validateTexts("service", name); err != nil {
			return err
		}
	}
	return validateVector(m.Digests.Through)
}

func (m *Pull) validate() error {
	if err := validateServices(m.Services); err != nil {
		return err
	}
	return validateVector(m.Vector)
}

func (m *Report) validate() error { return validateStatuses(m.Nodes) }

// validate checks only the number of changes. The store validates each change and reports a more specific error.
func (m *Write) validate() error {
	if len(m.Changes) == 0 || len(m.Changes) > distribution.MaxChanges {
		return fmt.Errorf("%w: %d changes, want 1 to %d", ErrOutOfBounds, len(m.Changes), distribution.MaxChanges)
	}
	return nil
}

func (m *WriteResult) validate() error { return validateTexts("text", m.Error, string(m.Origin)) }

func (m *StatusQuery) validate() error { return nil }

func (m *StatusAnswer) validate() error {
	if err := validateStatuses([]distribution.NodeStatus{m.Self}); err != nil {
		return err
	}
	return validateStatuses(m.Nodes)
}

func validateTexts(field string, texts ...string) error {
	for _, text := range texts {
		if len(text) > maxTextBytes || !utf8.ValidString(text) {
			return fmt.Errorf("%w: %s longer than %d bytes or not UTF-8", ErrOutOfBounds, field, maxTextBytes)
		}
	}
	return nil
}

func validateServices(names []string) error {
	if len(names) > distribution.MaxServices {
		return fmt.Errorf("%w: %d services, want at most %d", ErrOutOfBounds, len(names), distribution.MaxServices)
	}
	for _, name := range names {
		if len(name) > distribution.MaxNameBytes || !utf8.ValidString(name) {
			return fmt.Errorf("%w: service name longer than %d bytes or not UTF-8", ErrOutOfBounds, distribution.MaxNameBytes)
		}
	}
	return nil
}

func validateVector(v distribution.Vector) error {
	if len(v) > distribution.MaxOrigins {
		return fmt.Errorf("%w: %d origins, want at most %d", ErrOutOfBounds, len(v), distribution.MaxOrigins)
	}
	for origin := range v {
		if origin == "" || len(origin) > distribution.MaxOriginBytes || !utf8.ValidString(string(origin)) {
			return fmt.Errorf("%w: origin empty, longer than %d bytes or not UTF-8", ErrOutOfBounds, distribution.MaxOriginBytes)
		}
	}
	return nil
}

func validateRejections(rejected []distribution.Rejection) error {
	if len(rejected) > maxRejections {
		return fmt.Errorf("%w: %d rejections, want at most %d", ErrOutOfBounds, len(rejected), maxRejections)
	}
	for _, r := range rejected {
		if err := validateTexts("text", r.Key.Service, r.Key.Name, r.Reason); err != nil {
			return err
		}
	}
	return nil
}

func validateStatuses(statuses []distribution.NodeStatus) error {
	if len(statuses) > maxStatuses {
		return fmt.Errorf("%w: %d nodes, want at most %d", ErrOutOfBounds, len(statuses), maxStatuses)
	}
	for i := range statuses {
		s := &statuses[i]
		if err := validateTexts("name", s.Name, s.Region, s.Zone, s.Via); err != nil {
			return err
		}
		if err := validateRejections(s.Rejected); err != nil {
			return err
		}
	}
	return nil
}

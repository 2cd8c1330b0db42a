package wire

import (
	"fmt"
	"unicode/utf8"

	"fernvane/internal/controlplane/distribution"
)

func (m *Subscribe) check() error {
	s := &m.Subscription
	if s.Name == "" || s.Role < distribution.RoleNode || s.Role > distribution.RoleReader {
		return fmt.Errorf("%w: a subscriber without a name or a role", ErrOutOfBounds)
	}
	if err := texts("name", s.Name, s.Region, s.Zone); err != nil {
		return err
	}
	if err := services(s.Services); err != nil {
		return err
	}
	if err := services(s.UnsyncedServices); err != nil {
		return err
	}
	return vector(s.Vector)
}

func (m *Batch) check() error {
	if err := services(m.ResetServices); err != nil {
		return err
	}
	if err := vector(m.Through); err != nil {
		return err
	}
	return vector(m.Pruned)
}

func (m *Acknowledge) check() error {
	if err := rejections(m.Acknowledgement.Rejected); err != nil {
		return err
	}
	return vector(m.Acknowledgement.Applied)
}

func (m *Digests) check() error {
	for name := range m.Digests.Services {
		if err := texts("service", name); err != nil {
			return err
		}
	}
	return vector(m.Digests.Through)
}

func (m *Pull) check() error {
	if err := services(m.Services); err != nil {
		return err
	}
	return vector(m.Vector)
}

func (m *Report) check() error { return statuses(m.Nodes) }

func (m *Write) check() error {
	if len(m.Changes) == 0 || len(m.Changes) > distribution.MaxChanges {
		return fmt.Errorf("%w: %d changes, 1 to %d may be", ErrOutOfBounds, len(m.Changes), distribution.MaxChanges)
	}
	return nil // each change is checked by the store, which answers with its own error
}

func (m *WriteResult) check() error { return texts("text", m.Error, string(m.Origin)) }

func (m *StatusQuery) check() error { return nil }

func (m *StatusAnswer) check() error {
	if err := statuses([]distribution.NodeStatus{m.Self}); err != nil {
		return err
	}
	return statuses(m.Nodes)
}

func texts(what string, all ...string) error {
	for _, text := range all {
		if len(text) > textMost || !utf8.ValidString(text) {
			return fmt.Errorf("%w: a %s of more than %d bytes or not UTF-8", ErrOutOfBounds, what, textMost)
		}
	}
	return nil
}

func services(names []string) error {
	if len(names) > distribution.MaxServices {
		return fmt.Errorf("%w: %d services, at most %d may be", ErrOutOfBounds, len(names), distribution.MaxServices)
	}
	for _, name := range names {
		if len(name) > distribution.MaxNameBytes || !utf8.ValidString(name) {
			return fmt.Errorf("%w: a service's name of more than %d bytes or not UTF-8", ErrOutOfBounds, distribution.MaxNameBytes)
		}
	}
	return nil
}

func vector(v distribution.Vector) error {
	if len(v) > distribution.MaxOrigins {
		return fmt.Errorf("%w: %d origins, at most %d may be", ErrOutOfBounds, len(v), distribution.MaxOrigins)
	}
	for origin := range v {
		if origin == "" || len(origin) > distribution.MaxOriginBytes || !utf8.ValidString(string(origin)) {
			return fmt.Errorf("%w: an origin's name of none or more than %d bytes, or not UTF-8", ErrOutOfBounds, distribution.MaxOriginBytes)
		}
	}
	return nil
}

func rejections(rejected []distribution.Rejection) error {
	if len(rejected) > rejectedMost {
		return fmt.Errorf("%w: %d rejections, at most %d may be", ErrOutOfBounds, len(rejected), rejectedMost)
	}
	for _, r := range rejected {
		if err := texts("text", r.Key.Service, r.Key.Name, r.Reason); err != nil {
			return err
		}
	}
	return nil
}

func statuses(all []distribution.NodeStatus) error {
	if len(all) > nodesMost {
		return fmt.Errorf("%w: %d nodes, at most %d may be", ErrOutOfBounds, len(all), nodesMost)
	}
	for i := range all {
		s := &all[i]
		if err := texts("name", s.Name, s.Region, s.Zone, s.Via); err != nil {
			return err
		}
		if err := rejections(s.Rejected); err != nil {
			return err
		}
	}
	return nil
}

package spread

import (
	"fmt"
	"sync"
)

// Value is one published value: its version as Parse returned it, the platform's revision of it, and the text.
type Value struct {
	version  uint64
	sequence uint64
	text     []byte
}

// NewValue returns a value; sequence is the platform's revision, which orders values of the same version.
func NewValue(version, sequence uint64, text []byte) Value {
	return Value{version: version, sequence: sequence, text: text}
}

// Version returns the value's version as Parse returned it, zero for no value.
func (v Value) Version() uint64 { return v.version }

// Sequence returns the platform's revision of the value.
func (v Value) Sequence() uint64 { return v.sequence }

// Text returns the text, which the caller must not modify.
func (v Value) Text() []byte { return v.text }

// Stamp returns the version and the sequence, which identify the value without its text.
func (v Value) Stamp() Stamp { return Stamp{version: v.version, sequence: v.sequence} }

// Stamp orders values: the higher version wins, and among equal versions the one published first.
type Stamp struct {
	version  uint64
	sequence uint64
}

// NewStamp returns the stamp of a version and a platform revision; version zero stands for no value.
func NewStamp(version, sequence uint64) Stamp { return Stamp{version: version, sequence: sequence} }

// Version returns the value's version as Parse returned it, zero for no value.
func (s Stamp) Version() uint64 { return s.version }

// Sequence returns the platform's revision of the value.
func (s Stamp) Sequence() uint64 { return s.sequence }

// Supersedes reports whether a value with this stamp replaces one with the other stamp.
func (s Stamp) Supersedes(other Stamp) bool {
	if s.version != other.version {
		return s.version > other.version
	}
	return s.version != 0 && s.sequence < other.sequence
}

// Seams are the functions that a store depends on. They are called under its lock and must not call it.
type Seams struct {
	// Parse validates a text and returns the version of the value, which must be above zero for the value to come into
	// force.
	Parse func(sequence uint64, text []byte) (uint64, error)
	// Apply puts an accepted value into force.
	Apply func(Value)
}

// Store holds the value in force; its version never decreases.
type Store struct {
	mu      sync.Mutex
	seams   Seams
	current Value
	fault   string
}

// NewStore returns a store without a value.
func NewStore(seams Seams) *Store { return &Store{seams: seams} }

// Offer puts a value into force if it is valid and supersedes the current one, and reports whether it did. The error
// is that of Parse; an older valid value is no error.
func (s *Store) Offer(sequence uint64, text []byte) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, err := s.seams.Parse(sequence, text)
	if err != nil {
		s.fault = err.Error()
		return false, fmt.Errorf("refused value: %w", err)
	}
	v := NewValue(version, sequence, text)
	if !v.Stamp().Supersedes(s.current.Stamp()) {
		return false, nil
	}
	s.current, s.fault = v, ""
	s.seams.Apply(v)
	return true, nil
}

// Current returns the value in force, with version zero if there is none.
func (s *Store) Current() Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Fault returns why the last invalid value was refused, empty if there was none or a value has been accepted since.
func (s *Store) Fault() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

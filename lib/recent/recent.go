package recent

// Set is a set of the values added last, kept in two generations: it holds at least the latest capacity values and at most
// twice as many. It is not safe for concurrent use.
type Set[V comparable] struct {
	capacity int
	current  map[V]struct{}
	previous map[V]struct{}
}

// NewSet returns an empty set; capacity is the number of distinct values in one generation.
func NewSet[V comparable](capacity int) *Set[V] {
	return &Set[V]{capacity: capacity, current: map[V]struct{}{}}
}

// Add adds a value to the current generation. When this is full, it replaces the previous generation, whose values are
// dropped.
func (s *Set[V]) Add(v V) {
	s.current[v] = struct{}{}
	if len(s.current) >= s.capacity {
		s.previous, s.current = s.current, map[V]struct{}{}
	}
}

// Has reports whether the value is in either generation.
func (s *Set[V]) Has(v V) bool {
	_, inCurrent := s.current[v]
	_, inPrevious := s.previous[v]
	return inCurrent || inPrevious
}

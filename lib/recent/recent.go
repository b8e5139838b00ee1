package recent

// Set is a set of the values added last, kept in two generations of equal size: it holds at least as many of the latest
// values as one generation has, and at most twice as many. It is not safe for concurrent use.
type Set[V comparable] struct {
	size  int
	newer map[V]struct{}
	older map[V]struct{}
}

// NewSet returns an empty set; size is the number of distinct values in one generation.
func NewSet[V comparable](size int) *Set[V] { return &Set[V]{size: size, newer: map[V]struct{}{}} }

// Add adds a value to the newer generation. Once that is full, it becomes the older one, and the values of the former older
// generation are dropped.
func (s *Set[V]) Add(v V) {
	s.newer[v] = struct{}{}
	if len(s.newer) >= s.size {
		s.older, s.newer = s.newer, map[V]struct{}{}
	}
}

// Has reports whether the value is in either generation.
func (s *Set[V]) Has(v V) bool {
	_, inNewer := s.newer[v]
	_, inOlder := s.older[v]
	return inNewer || inOlder
}

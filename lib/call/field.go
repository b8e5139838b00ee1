package call

import "strings"

// Field is one header field; a header with several values is held as several fields of the same name.
type Field struct {
	name  string
	value string
}

// NewField returns a header field with one value.
func NewField(name, value string) Field { return Field{name: name, value: value} }

// Name returns the field's name in the canonical form of net/http, such as "Content-Type".
func (f Field) Name() string { return f.name }

// Value returns the one value of the field, unparsed.
func (f Field) Value() string { return f.value }

// EndToEndFields returns the fields of a header without those that apply to one connection only (RFC 9110, section
// 7.6.1), and without those for which omit returns true.
func EndToEndFields(header map[string][]string, omit func(name string) bool) []Field {
	var fields []Field
	for name, values := range header {
		if isPerHop(name) || isListed(header["Connection"], name) || omit(name) {
			continue
		}
		for _, value := range values {
			fields = append(fields, NewField(name, value))
		}
	}
	return fields
}

// isPerHop reports whether a field applies to one connection only or is set anew for each.
func isPerHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return false
}

// isListed reports whether one of the values, which are comma-separated lists, contains a name.
func isListed(values []string, name string) bool {
	for _, list := range values {
		for element := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(element), name) {
				return true
			}
		}
	}
	return false
}

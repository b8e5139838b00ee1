package claims

import (
	"time"

	"github.com/google/uuid"
)

// uuidVersionWithTime is the UUID version that begins with its creation time (RFC 9562, section 5.7).
const uuidVersionWithTime = 7

// CreatedAt reads the creation time out of a key that is a UUID of version 7. It returns false for any other key.
func CreatedAt(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersionWithTime {
		return time.Time{}, false
	}
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

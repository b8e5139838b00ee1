package quota

import (
	"errors"
	"time"
)

// ErrNotListening means that no process listens at an address, so that the home that was there has ended. A peer that cannot
// be reached, or does not answer, gives another error.
var ErrNotListening = errors.New("no node listens at the address")

// maxCount bounds the counts of an ask, which comes from another process.
const maxCount = 1 << 20

func bounded(count int) int { return min(maxCount, max(0, count)) }

// Ask asks a home for tokens of an organisation.
type Ask struct {
	organisation string
	from         string
	want         int
	refused      int
	returned     int
}

// NewAsk returns the ask of the node at the address from for want tokens.
func NewAsk(organisation, from string, want int) Ask {
	return Ask{organisation: organisation, from: from, want: bounded(want)}
}

// WithRefused returns the ask with the number of requests that were refused without an ask since the last one.
func (a Ask) WithRefused(count int) Ask { a.refused = bounded(count); return a }

// WithReturned returns the ask with the number of tokens given back, whose requests did not run.
func (a Ask) WithReturned(count int) Ask { a.returned = bounded(count); return a }

// Organisation returns the name of the organisation.
func (a Ask) Organisation() string { return a.organisation }

// From returns the address of the asking node.
func (a Ask) From() string { return a.from }

// Want returns the number of tokens asked for.
func (a Ask) Want() int { return a.want }

// Refused returns the number of requests refused without an ask.
func (a Ask) Refused() int { return a.refused }

// Returned returns the number of tokens given back.
func (a Ask) Returned() int { return a.returned }

// Grant is the reply to an ask.
type Grant struct {
	granted int
	full    bool
	wait    time.Duration
	spacing time.Duration
	hold    time.Duration
}

// NewGrant returns a grant of so many tokens. It is full if the home knows the whole fleet's use, so that no other node may
// grant more.
func NewGrant(granted int, full bool) Grant { return Grant{granted: granted, full: full} }

// WithAppointments returns the grant with the delay after which the first refused request gets a token, and the time between
// that and the next.
func (g Grant) WithAppointments(wait, spacing time.Duration) Grant {
	g.wait, g.spacing = wait, spacing
	return g
}

// WithHold returns the grant with how long the node must not ask again.
func (g Grant) WithHold(hold time.Duration) Grant { g.hold = hold; return g }

// Granted returns the number of tokens.
func (g Grant) Granted() int { return g.granted }

// Full reports whether the home knows the whole fleet's use.
func (g Grant) Full() bool { return g.full }

// Wait returns after which delay the first refused request gets a token.
func (g Grant) Wait() time.Duration { return g.wait }

// Spacing returns the time between the tokens of two refused requests.
func (g Grant) Spacing() time.Duration { return g.spacing }

// Hold returns how long the node must not ask again.
func (g Grant) Hold() time.Duration { return g.hold }

// plus returns the grant with further tokens.
func (g Grant) plus(granted int) Grant { g.granted += granted; return g }

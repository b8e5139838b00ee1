package quota

import "time"

// Limits are the quota of one organisation over all nodes.
type Limits struct {
	rate  float64
	burst float64
}

// NewLimits returns limits of rate requests per second and burst requests at once.
func NewLimits(rate, burst float64) Limits { return Limits{rate: rate, burst: burst} }

// Rate returns the requests per second, zero for no limit.
func (l Limits) Rate() float64 { return l.rate }

// Burst returns how many requests may come at once.
func (l Limits) Burst() float64 { return l.burst }

// IsUnlimited reports whether the organisation has no quota.
func (l Limits) IsUnlimited() bool { return l.rate <= 0 }

// Bounds state what may run of an organisation in any window: (rate x window + burst) x (1 + overage) + slack requests.
type Bounds struct {
	window  time.Duration
	overage float64
	slack   float64
}

// The default bounds.
const (
	DefaultWindow  = 5 * time.Second
	DefaultOverage = 0.25
	DefaultSlack   = 20.0
)

// NewBounds returns the bounds for a window.
func NewBounds(window time.Duration, overage, slack float64) Bounds {
	return Bounds{window: window, overage: overage, slack: slack}
}

// Window returns the length of the window.
func (b Bounds) Window() time.Duration { return b.window }

// Max returns how many requests may run in any window.
func (b Bounds) Max(l Limits) float64 {
	return l.rate*b.window.Seconds() + l.burst + b.margin(l)
}

// margin returns by how much the requests of a window may exceed the quota itself. It is divided among the causes below.
func (b Bounds) margin(l Limits) float64 {
	return (l.rate*b.window.Seconds()+l.burst)*b.overage + b.slack
}

// The parts of the margin. With two new homes in a window they make up the whole.
const (
	// startPart is what a new home begins with, since it does not know what the one before it granted.
	startPart = 1.0 / 16
	// fallbackPart is what all nodes together grant in a window while they do not know a home.
	fallbackPart = 1.0 / 4
	// returnPart is what a home takes back within returnTime.
	returnPart = 1.0 / 8
	// capacityPart is what a home grants beyond the quota, since requests overtake each other on the way to it.
	capacityPart = 1.0 / 8
	// sustainedPart is what the home before a new one may have granted in the same window beyond the rate.
	sustainedPart = 3.0 / 8
)

// firstRateFraction is the part of its rate that a new home grants in its first window, in which it does not know what the one
// before it granted.
const firstRateFraction = 0.75

// start returns the level of the bucket of a new home.
func (b Bounds) start(l Limits) float64 { return b.margin(l) * startPart }

// capacity returns the level of a full bucket, at least one token.
func (b Bounds) capacity(l Limits) float64 { return max(1, l.burst+b.margin(l)*capacityPart) }

// perWindow returns what a home grants in a window at most.
func (b Bounds) perWindow(l Limits) float64 { return l.rate*b.window.Seconds() + b.capacity(l) }

// sustained returns the rate that a home grants for long: what an organisation may use in a window by its burst, it may use
// without a pause too. A takeover in a window of such use costs sustainedPart of the margin.
func (b Bounds) sustained(l Limits) float64 {
	beyond := min(l.burst, b.margin(l)*sustainedPart/firstRateFraction)
	return l.rate + beyond/b.window.Seconds()
}

// returns returns how many tokens a home takes back within returnTime.
func (b Bounds) returns(l Limits) float64 { return b.margin(l) * returnPart }

// fallback returns how many requests the node of a rank among so many nodes may let through in a window without a home. The
// sum over all ranks is at most fallbackPart of the margin. Most of it goes to the first two, which the others ask.
func (b Bounds) fallback(l Limits, rank, nodes int) float64 {
	total := int(b.margin(l) * fallbackPart)
	const firstParts, parts = 2, 3
	each := total / parts
	switch {
	case rank < 0: // not in the list
		return 0
	case rank < firstParts:
		return float64(each)
	}
	rest, others, i := total-firstParts*each, nodes-firstParts, rank-firstParts
	return float64(rest*(i+1)/others - rest*i/others)
}

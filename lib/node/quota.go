package node

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/quota"
	"tamarackrudder.org/lib/rules"
	"tamarackrudder.org/lib/verd"
)

// quotas are the tables by which the quotas of organisations hold over the fleet.
type quotas struct {
	touch   *quota.Touch
	ranking *quota.Ranking
	home    *quota.Home
	entry   *quota.Entry
}

func (n *Node) newQuotas() quotas {
	c, s := n.clock, n.settings
	touch := quota.NewTouch(c, n.logTouch)
	ranking := quota.NewRanking(c, s.self)
	home := quota.NewHome(c, s.quotaBounds, ranking, quota.HomeSeams{
		InTouch: touch.InTouch, Ask: n.askTokens, Changed: n.logHome,
	})
	entry := quota.NewEntry(n.ctx, c, s.self, s.quotaBounds, ranking, quota.EntrySeams{
		Ask: n.askTokens, Fallback: home.TakeFallback, Random: n.seams.Random,
	})
	return quotas{touch: touch, ranking: ranking, home: home, entry: entry}
}

func (n *Node) logTouch(ok bool) {
	msg := "lost touch with the fleet, quotas are granted from the fallback share"
	if ok {
		msg = "in touch with the fleet again"
	}
	_ = level.Info(n.log).Log("msg", msg)
}

// logHome logs that this node begins to grant the whole quota of an organisation, or only its fallback share.
func (n *Node) logHome(organisation string, full bool) {
	const msg = "home of a quota has changed"
	if omitted, ok := n.logLimiter.Allow(msg); ok {
		_ = level.Info(n.log).Log("msg", msg, "organisation", organisation, "grantsAll", full, "omitted", omitted)
	}
}

// adoptHomes finds the homes of organisations in a new list.
func (n *Node) adoptHomes(list *hosts.List, neighbors []string) {
	n.quotas.touch.SetNeighbors(slices.Compact(slices.Sorted(slices.Values(neighbors))))
	n.quotas.ranking.Adopt(list)
}

// askTokens sends an ask for tokens to a home, which may be this node.
func (n *Node) askTokens(ctx context.Context, addr string, a quota.Ask) (quota.Grant, error) {
	if addr == n.settings.self {
		return n.HandleTokens(ctx, a), nil
	}
	if n.seams.Tokens == nil {
		return quota.Grant{}, gossip.ErrUnsupported
	}
	return n.seams.Tokens(ctx, addr, a)
}

// HandleTokens replies to a peer's ask for tokens of an organisation.
func (n *Node) HandleTokens(ctx context.Context, a quota.Ask) quota.Grant {
	return n.quotas.home.Serve(ctx, a, limitsOf(n.rules.Load(), a.Organisation()))
}

// limitsOf returns an organisation's quota in the rules, which may be nil.
func limitsOf(set *rules.Set, organisation string) quota.Limits {
	if set == nil || organisation == "" {
		return quota.Limits{}
	}
	o, ok := set.Organisation(organisation)
	if !ok {
		return quota.Limits{}
	}
	return quota.NewLimits(o.Rate(), o.Burst())
}

// serveInQuota sends an admitted request, if it comes from a caller then only with a token of its organisation's quota, which
// it gives back if the request has not run. Calls of backend servers have a parent request, or no organisation.
func (n *Node) serveInQuota(ctx context.Context, e *entry) call.Answer {
	limits := limitsOf(n.rules.Load(), e.request.Organisation())
	if limits.IsUnlimited() || e.parent != nil {
		return n.sendWithRetries(ctx, e)
	}
	token, refusal, ok := n.quotas.entry.Take(ctx, e.request.Organisation(), limits)
	switch {
	case !ok && ctx.Err() != nil:
		return call.Refusal(verd.NotRun(verd.ReasonOf(ctx)))
	case !ok:
		n.logDecision("refused over its quota", e.request, "organisation", e.request.Organisation(),
			"homeless", refusal.Homeless(), "retryAfterMs", refusal.RetryAfter().Milliseconds())
		return call.Refusal(verd.NotRun(verd.ReasonQuota)).WithRetryAfter(max(refusal.RetryAfter(), time.Millisecond))
	}
	a := n.sendWithRetries(ctx, e)
	if a.Verdict().IsNotRun() {
		n.quotas.entry.GiveBack(token)
	}
	return a
}

// maxQuotaRows bounds the organisations of which QuotaUsage tells.
const maxQuotaRows = 100

// QuotaUsage returns what this node has granted of the quotas of organisations, those with the most refusals first.
func (n *Node) QuotaUsage() []quota.Usage { return n.quotas.home.Usage(maxQuotaRows) }

// QuotaHome returns the address of the node that grants an organisation's quota while it is up, empty before a list of hosts
// is in force.
func (n *Node) QuotaHome(organisation string) string {
	place, ok := n.quotas.ranking.Place(organisation)
	if !ok || len(place.Homes()) == 0 {
		return ""
	}
	return place.Homes()[0]
}

package texts

// Help texts of the commands and flags.
const (
	Usage             = "inspect and control the nodes of tamarackrudder"
	UsageCheck        = "check a rules file or a configuration of the users' platform as the nodes do, before it is published"
	UsageAgainst      = "a file, or IP:port of a node's operator listener, to show what differs from its rules"
	UsageStrict       = "fail for warnings too"
	UsageEndpoints    = "SERVICE=NUMBER of endpoints, to check attempts and bursts against; may be given more than once"
	UsageBodyMemory   = "bytes that one request body may take at a node, to check body limits against"
	UsageQuotaWindow  = "window in which quotas are counted, to check quotas against"
	UsageStatus       = "show versions in force, lease, limit, queues and refusals of each node"
	UsageDrain        = "let nodes leave: no new work, requests in flight finish, keys are handed over"
	UsageUndrain      = "let nodes take work again"
	UsageRules        = "show the rules in force and who asked for them"
	UsageOrganisation = "the organisation whose key the request carries"
	UsageExplain      = "show what would happen to a request, and why"
	UsageHistogram    = "show verdicts and latencies by organisation and class"
	UsageQuota        = "show what nodes granted of the quotas of organisations within the last window"
	UsageNodes        = "IP:port of nodes' operator listeners, may be given more than once"
	UsageJSON         = "print JSON"
	UsageKey          = "the request's Idempotency-Key"
)

// Messages, table headings and table cells.
const (
	Description = `Commands of an old system can be mapped to these verbs in TAMARACK_ALIASES,
as "OLD=VERB" separated by commas, so that runbooks can keep the old names.`
	Accepted         = "accepted: version %d, %d services, %d routes\n"
	RefusedStrictly  = "refused for %d warnings"
	Warning          = "warning: %s\n"
	Change           = "change: %s\n"
	Refused          = "refused, %d faults:\n%s"
	NodeFailed       = "%s: %v"
	StatusHeader     = "NODE\tSERVICE\tZONE\tSTATE\tRULES\tLIST\tTENURE\tLEASE\tKEYS\tLIMIT\tRUNNING\tQUEUED\tSHED\tEJECTED"
	HistHeader       = "NODE\tTENANT\tCLASS\tRAN\tNOT-RUN\tMAY-HAVE-RUN\tP50 MS\tP99 MS\tP99.9 MS\tREASONS"
	QuotaHeader      = "NODE\tORGANISATION\tHOME\tRATE\tBURST\tLEFT\tUSED\tREFUSED"
	NodeHeading      = "%s\n"
	StateStarting    = "starting"
	StateLeaving     = "leaving"
	StateServing     = "serving"
	LeaseHeld        = "held"
	LeaseNotGranting = "held, grants none yet"
	LeaseNone        = "none"
	None             = "-"
)

package node

import (
	"time"

	"github.com/go-kit/log/level"
)

// replacedTime is how long a backend server that has rejected a request as meant for another instance gets none for that instance.
const replacedTime = time.Second

// replacedInstance is an instance in whose place the backend server is another one.
type replacedInstance struct {
	name  string
	until time.Time
}

// recordReplaced records that the backend server is not the instance that the list of hosts names. It would reject all other
// requests for that instance too, and each of them counts as a retry.
func (n *Node) recordReplaced(name string) {
	last := n.replaced.Swap(&replacedInstance{name: name, until: n.clock.Now().Add(replacedTime)})
	if last == nil || last.name != name {
		_ = level.Info(n.log).Log("msg", "the backend server is another instance than the list of hosts says, its requests are refused",
			"listed", name)
	}
}

// isReplaced reports whether the backend server is known to be another instance than the list of hosts says.
func (n *Node) isReplaced() bool {
	replaced, local := n.replaced.Load(), n.lastListed.Load()
	return replaced != nil && local != nil && local.Instance() != "" && local.Instance() == replaced.name &&
		n.clock.Now().Before(replaced.until)
}

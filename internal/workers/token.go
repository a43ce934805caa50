package workers

import "cleatpick/internal/eventloop"

// counterBits is the number of low bits of a token that count within an epoch. The high bits are the epoch.
const counterBits = 20

// EpochOf returns the epoch of the controller that issued a token.
func EpochOf(token uint64) uint64 { return token >> counterBits }

// issueToken gives a machine a token above all that were issued to it before, and reports whether there is one. If the
// present epoch has none left, a newer epoch is requested.
func (a *Registry) issueToken(m *machine, wall eventloop.Micros) bool {
	next := max(m.token+1, m.issuedBefore+1, a.config.Epoch()<<counterBits)
	if EpochOf(next) > a.config.Epoch() {
		a.log.Info("tokens of the epoch are used up for a machine; a newer epoch is requested", "machine", m.view.Name, "token", m.token)
		a.config.RaiseEpoch(func() {})
		return false
	}
	m.token, m.tokenIssuedAt = next, wall
	return true
}

// requireHigherToken makes the worker show a token above the given one before it counts as following this host again.
// Until then nothing is sent to it directly.
func (a *Registry) requireHigherToken(m *machine, token uint64) {
	if m.token == token {
		a.issueToken(m, a.runner.Wall())
	}
	m.requiredToken = max(m.requiredToken, token+1)
	a.setState(m, AwaitingToken)
}

// tokenShown reports whether a worker that shows the given token follows this host: it refuses the commands of all other
// hosts, and those of this host whose outcome is unknown.
func (m *machine) tokenShown(token uint64) bool {
	return m.requiredToken <= token && token <= m.token
}

// peerEpoch returns the epoch of the newest token that another host gave the machine, as far as known; 0: none.
func (a *Registry) peerEpoch(name string) uint64 {
	if v := a.views[name]; v != nil && v.Host != a.config.Label {
		return v.Epoch
	}
	return 0
}

package admission

import (
	"log/slog"

	"cleatpick/internal/eventloop"
)

// spellEndsAfter is the time without a refusal for a reason after which the spell of refusals counts as over.
const spellEndsAfter = 5 * eventloop.Second

// Refusals logs when a controller starts and stops refusing requests for a reason, once for each spell. The
// reasons are a fixed list, which bounds the entries.
type Refusals struct {
	log    *slog.Logger
	spells map[string]*refusalSpell
}

type refusalSpell struct {
	began, last eventloop.Micros
	count       int
}

// NewRefusals returns a Refusals without entries.
func NewRefusals(log *slog.Logger) *Refusals {
	return &Refusals{log: log, spells: map[string]*refusalSpell{}}
}

// Record records that a request was refused, and logs the first one of a spell.
func (r *Refusals) Record(reason string, now eventloop.Micros) {
	s := r.spells[reason]
	if s == nil {
		s = &refusalSpell{began: now}
		r.spells[reason] = s
		r.log.Info("started refusing requests", "reason", reason)
	}
	s.last = now
	s.count++
}

// LogEnded logs the spells that are over. It is to be called regularly.
func (r *Refusals) LogEnded(now eventloop.Micros) {
	for reason, s := range eventloop.Sorted(r.spells) {
		if now-s.last >= spellEndsAfter {
			r.log.Info("stopped refusing requests", "reason", reason, "refused", s.count, "lasted_us", s.last-s.began)
			delete(r.spells, reason)
		}
	}
}

package job

import (
	"cmp"
	"slices"

	"cleatpick/internal/loop"
)

// owed is since when questions about a known job have gone unanswered here: whoever has
// waited longest goes first. Each question by itself may be refused for coming beside too
// many others; a job about which all of them were would count as forgotten.
//
// With J jobs asked about at a node that compares k of them a second, a job that is asked
// about again within r is answered at that node within J/k + r of its first question there:
// each comparison takes those that have waited longest, and J at most stand before it.
// It holds one entry for each known job that is not over and owes an answer.
type owed map[string]loop.Micros

// since is when the first unanswered question about the job came.
func (o owed) since(id string, now loop.Micros) loop.Micros {
	if at, ok := o[id]; ok {
		return at
	}
	return now
}

// told takes in what was answered to a question of a time.
func (o owed) told(x *inquiry, a Answer) {
	if a.Code == 200 || a.Code == 201 {
		delete(o, x.id)
	} else if x.mark != 0 || x.asker == Known {
		o[x.id] = min(o.since(x.id, x.first), x.first)
	}
}

// join puts an inquiry in line: polls for known jobs by who has waited longest, all others
// as they come.
func (q *inquiries) join(x *inquiry) {
	line := q.lines[x.asker]
	i := len(line)
	if x.asker == Known {
		i, _ = slices.BinarySearchFunc(line, x, func(a, b *inquiry) int {
			return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.id, b.id))
		})
	}
	q.lines[x.asker] = slices.Insert(line, i, x)
}

// youngest is the poll for a known job in line that has waited least, if it has waited less
// than since some time; nil: none has.
func (q *inquiries) youngest(than loop.Micros) *inquiry {
	line := q.lines[Known]
	for k := len(line) - 1; k >= 0 && line[k].first > than; k-- {
		if x := line[k]; !x.told && x.asker == Known && q.waiting[x.id] == x {
			return x
		}
	}
	return nil
}

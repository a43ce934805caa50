package job

import "cleatpick/internal/eventloop"

// unansweredJobs holds, for each known job that is not final, the time since which requests about it have gone
// unanswered here. A single request may be refused because too many wait; a job about which all requests are
// refused would count as lost. So when not all requests can wait, the jobs that have gone unanswered longest
// are served first.
//
// It has at most one entry for each known job that is not final.
type unansweredJobs map[string]eventloop.Micros

// since returns the time of the job's first unanswered request, or now if there is none.
func (o unansweredJobs) since(id string, now eventloop.Micros) eventloop.Micros {
	if at, known := o[id]; known {
		return at
	}
	return now
}

// recordRefusal records that a request about the job was refused; since is the job's first unanswered request.
func (o unansweredJobs) recordRefusal(id string, since eventloop.Micros) {
	o[id] = min(o.since(id, since), since)
}

// recordAnswer records that a request about the job was answered.
func (o unansweredJobs) recordAnswer(id string) { delete(o, id) }

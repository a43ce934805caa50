package job

// mostFromPeers bounds the jobs that only a peer's word calls withdrawn.
const mostFromPeers = 20000

// LearnWithdrawn takes in that a job was withdrawn, from a peer that knows the record's version in
// which it was, and whose word is taken for what the state service would say. The job is over
// here from now on; its record follows once the state service is heard again. It tells whether
// that is known here now.
func (r *Registry) LearnWithdrawn(id string, revision uint64) bool {
	if !ValidID(id) || revision == 0 {
		return false
	}
	j := r.jobs[id]
	switch {
	case j != nil && j.Final():
		return j.Phase == Withdrawn
	case j != nil && j.Revision >= revision:
		r.log.Error("a peer calls a job withdrawn that is known here as later", "job", id, "revision", revision, "known", j.Revision)
		return false
	case r.fromPeers >= mostFromPeers:
		return false
	}
	if j == nil {
		// Nothing else is known of it, and no place is ever given to it.
		j = &Job{ID: id}
		r.jobs[id] = j
	}
	r.fromPeers++
	j.PeerRevision, j.Phase = revision, Withdrawn
	r.overdue.answered(id)
	if r.OnJob != nil {
		r.OnJob(j)
	}
	return true
}

// applyPeerRevision keeps what a peer told until the record is as new: older versions of it may still
// be on their way here.
func (r *Registry) applyPeerRevision(j *Job) {
	switch {
	case j.PeerRevision == 0:
	case j.Revision >= j.PeerRevision:
		j.PeerRevision = 0
		r.fromPeers--
	default:
		j.Phase = Withdrawn
	}
}

// WithdrawnRevision is the version in which a withdrawn job was withdrawn, as far as is known here.
func (j *Job) WithdrawnRevision() uint64 { return max(j.Revision, j.PeerRevision) }

package job

// maxPeerOnly bounds the number of jobs that are known to be cancelled only from a peer's message.
const maxPeerOnly = 20000

// ApplyPeerCancellation applies a peer's message that a job was cancelled at a revision of its record. The peer is
// trusted like the state service itself. The job is final here from now on; its record follows once the state
// service can be reached. ApplyPeerCancellation reports whether the job is now known here as cancelled.
func (r *Registry) ApplyPeerCancellation(id string, revision uint64) bool {
	if !ValidID(id) || revision == 0 {
		return false
	}
	j := r.jobs[id]
	switch {
	case j != nil && j.Final():
		return j.Phase == Cancelled
	case j != nil && j.Revision >= revision:
		r.log.Error("cancellation reported by a peer ignored: the job's record known here is newer and not cancelled", "job", id, "revision", revision, "known", j.Revision)
		return false
	case r.peerOnly >= maxPeerOnly:
		return false
	}
	if j == nil {
		// Nothing else is known of the job, so none of its tasks can be placed.
		j = &Job{ID: id}
		r.jobs[id] = j
	}
	r.peerOnly++
	j.PeerRevision, j.Phase, j.CancelledAt = revision, Cancelled, r.runner.Wall()
	r.unanswered.recordAnswer(id)
	if r.OnJob != nil {
		r.OnJob(j)
	}
	return true
}

// applyPeerRevision keeps a cancellation that a peer reported until the record of that revision has arrived:
// older revisions of the record may arrive first.
func (r *Registry) applyPeerRevision(j *Job) {
	switch {
	case j.PeerRevision == 0:
	case j.Revision >= j.PeerRevision:
		j.PeerRevision = 0
		r.peerOnly--
	default:
		j.Phase = Cancelled
	}
}

// CancelledRevision returns the highest revision at which a cancelled job is known here as cancelled.
func (j *Job) CancelledRevision() uint64 { return max(j.Revision, j.PeerRevision) }

// Package origin decides at which version of a service's software a stream goes on.
//
// Replicas of several versions of one service's software may serve side by side. What two versions write does not fit
// together, replicas don't check it, and the daemon that a stream is taken up at is mostly not the one that began it; that one
// may be gone. Invariant: a stream goes on only at the version that began it, and not at all if that version is uncertain.
//
// A daemon that knows several versions, or is not sure, records where each stream begins at a few daemons, before its caller
// receives the first event. A daemon that knows of one version alone records nothing. The key-value service lists a version before
// the first event at it is delivered. That there is no record is no evidence by itself: those that have it may be out of reach, and
// so may the news of a second version. A stream without a record therefore goes on only if nobody that is asked knows of a second
// version, and either the key-value service, read after the stream came back, lists one version, or all other daemons have answered.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness.
package origin

// Certainty is what a daemon knows of the versions at which streams of a service that may still go on can have begun.
type Certainty int

const (
	Unsure  Certainty = iota // the daemon has not seen the service for long enough, or its view may be old
	Sole                     // one version
	Several                  // more than one
)

// String implements fmt.Stringer.
func (c Certainty) String() string { return [...]string{"unsure", "sole", "several"}[c] }

// View is what a daemon knows of a service.
type View struct {
	Certainty Certainty
	Software  string // the version, if Certainty is Sole; if Unsure, the one that is known, empty: none, unless Nameless
	Nameless  bool   // Unsure, and the version that is known is the empty one
	Confirmed bool   // the key-value service lists this version alone, as read after the stream came back; only if Certainty is Sole
}

// ConfirmedBy returns the view of a daemon that has read, after the stream came back, which versions the key-value service lists; none:
// it did not get an answer.
func (v View) ConfirmedBy(listed []string) View {
	switch {
	case len(listed) == 0 || v.Certainty == Several:
		return v
	case len(listed) > 1 || v.knows() && v.Software != listed[0]:
		return View{Certainty: Several}
	}
	return View{Certainty: Sole, Software: listed[0], Confirmed: true}
}

// knows reports whether the view names a version.
func (v View) knows() bool {
	return v.Certainty == Sole || v.Certainty == Unsure && (v.Software != "" || v.Nameless)
}

// Finding is what a daemon has recorded of a stream.
type Finding struct {
	Found    bool
	Software string // at which the stream began, if Found
	Conflict bool   // two records of the stream name different versions
}

// Testimony is what one daemon says of a stream.
type Testimony struct {
	Finding
	View View // of the stream's service
}

// Reason says why a stream may go on, or not.
type Reason string

const (
	ReasonRecorded   Reason = "recorded"   // a record names the version
	ReasonSole       Reason = "sole"       // there is no record, and no other version
	ReasonUnknown    Reason = "unknown"    // a record says that the version was not known
	ReasonConflict   Reason = "conflict"   // records contradict each other
	ReasonSeveral    Reason = "several"    // there is no record, and several versions
	ReasonUnsure     Reason = "unsure"     // there is no record, and nobody knows the versions
	ReasonUnanswered Reason = "unanswered" // a daemon that said nothing may know of a record or a second version, and there is no other evidence
)

// Verdict says whether a stream may go on, and at which version.
type Verdict struct {
	GoesOn   bool
	Software string
	Reason   Reason
}

// Decide returns the verdict on a stream from what this daemon and those that it asked say. unanswered is the number of other daemons that
// did not say anything, asked or not.
func Decide(testimonies []Testimony, unanswered int) Verdict {
	found, conflict := recorded(testimonies)
	switch {
	case conflict:
		return Verdict{Reason: ReasonConflict}
	case found != nil && found.Software == UnknownSoftware:
		return Verdict{Reason: ReasonUnknown}
	case found != nil:
		return Verdict{GoesOn: true, Software: found.Software, Reason: ReasonRecorded}
	}
	return unrecorded(testimonies, unanswered)
}

// recorded returns the finding on which all records agree, nil if there is none.
func recorded(testimonies []Testimony) (found *Finding, conflict bool) {
	for i := range testimonies {
		f := &testimonies[i].Finding
		switch {
		case f.Conflict:
			return nil, true
		case !f.Found:
		case found == nil:
			found = f
		case found.Software != f.Software:
			return nil, true
		}
	}
	return found, false
}

// unrecorded returns the verdict on a stream without a record.
func unrecorded(testimonies []Testimony, unanswered int) Verdict {
	var known *View
	certain, confirmed := false, false
	for i := range testimonies {
		v := &testimonies[i].View
		if v.Certainty == Several || known != nil && v.knows() && v.Software != known.Software {
			return Verdict{Reason: ReasonSeveral}
		}
		if v.knows() {
			known = v
		}
		certain = certain || v.Certainty == Sole
		confirmed = confirmed || v.Confirmed
	}
	switch {
	case !certain:
		return Verdict{Reason: ReasonUnsure}
	case unanswered > 0 && !confirmed:
		return Verdict{Reason: ReasonUnanswered}
	}
	return Verdict{GoesOn: true, Software: known.Software, Reason: ReasonSole}
}

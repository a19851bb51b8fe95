package core

// patientShareDivisor sets the share of patient requests: while urgent and patient requests wait, one request in
// patientShareDivisor that leaves the queue is patient. Without this share, sustained overload with urgent requests
// would let every patient request expire.
const patientShareDivisor = 10

// queue holds the waiting requests of each class. Once and lookup requests are urgent: they leave before patient ones,
// except that one request in patientShareDivisor to leave is patient.
type queue struct {
	classes [numClasses]list[request]
	// urgentDepartures counts the urgent requests that have left since the latest departure of a patient one, while a
	// patient request waits.
	urgentDepartures int
}

func (q *queue) length() int { return q.urgentLength() + q.classes[ClassPatient].length }

func (q *queue) urgentLength() int {
	return q.classes[ClassOnce].length + q.classes[ClassLookup].length
}

// head returns the request that leaves next, or nil.
func (q *queue) head() *request {
	patient := q.classes[ClassPatient].head()
	urgent := q.urgentHead()
	if urgent == nil || patient != nil && q.urgentDepartures >= patientShareDivisor-1 {
		return patient
	}
	return urgent
}

// urgentHead returns the earlier of the first waiting once and lookup requests.
func (q *queue) urgentHead() *request {
	once, lookup := q.classes[ClassOnce].head(), q.classes[ClassLookup].head()
	if once == nil || lookup != nil && lookup.arrived < once.arrived {
		return lookup
	}
	return once
}

// push adds a request at the end. A request that already had an attempt goes to the front: its caller has waited for
// that attempt, and a refusal after another full wait would come late.
func (q *queue) push(r *request) {
	if r.attemptsStarted > 0 {
		q.classes[r.class].pushFront(&r.listNode, r)
		return
	}
	q.classes[r.class].push(&r.listNode, r)
}

func (q *queue) remove(r *request) { q.classes[r.class].remove(&r.listNode) }

// dequeue removes a request that is about to be sent, and counts its departure.
func (q *queue) dequeue(r *request) {
	q.remove(r)
	if r.class == ClassPatient || q.classes[ClassPatient].length == 0 {
		q.urgentDepartures = 0
	} else {
		q.urgentDepartures++
	}
}

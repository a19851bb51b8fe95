package core

// patientShare is the share of queue departures that patient requests get while others wait: one in ten. Without a
// share a steady excess of short requests would let every patient request expire.
const patientShare = 10

// requestList is a queue of requests, linked through the requests so that removal from the middle is cheap.
type requestList struct {
	head, tail *request
	length     int
}

func (l *requestList) push(r *request) {
	r.prev, r.next = l.tail, nil
	if l.tail == nil {
		l.head = r
	} else {
		l.tail.next = r
	}
	l.tail = r
	l.length++
}

func (l *requestList) pushFront(r *request) {
	r.prev, r.next = nil, l.head
	if l.head == nil {
		l.tail = r
	} else {
		l.head.prev = r
	}
	l.head = r
	l.length++
}

func (l *requestList) remove(r *request) {
	if r.prev == nil {
		l.head = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		l.tail = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
	l.length--
}

// queue holds the waiting requests of each class.
type queue struct {
	classes [numClasses]requestList
	// urgent counts the departures of other classes while a patient request waits.
	urgent int
}

func (q *queue) length() int { return q.urgentLength() + q.classes[ClassPatient].length }

func (q *queue) urgentLength() int {
	return q.classes[ClassOnce].length + q.classes[ClassLookup].length
}

// head returns the request that leaves next, or nil.
func (q *queue) head() *request {
	patient := q.classes[ClassPatient].head
	urgent := q.urgentHead()
	if urgent == nil || patient != nil && q.urgent >= patientShare-1 {
		return patient
	}
	return urgent
}

// urgentHead returns the earlier of the first waiting once and lookup requests.
func (q *queue) urgentHead() *request {
	once, lookup := q.classes[ClassOnce].head, q.classes[ClassLookup].head
	if once == nil || lookup != nil && lookup.arrived < once.arrived {
		return lookup
	}
	return once
}

// push adds a request at the end. One that had an attempt before goes to the front: it waited once, and a refusal after
// a second wait would be late.
func (q *queue) push(r *request) {
	if r.started > 0 {
		q.classes[r.class].pushFront(r)
		return
	}
	q.classes[r.class].push(r)
}

func (q *queue) remove(r *request) { q.classes[r.class].remove(r) }

// leave removes a request that gets its turn.
func (q *queue) leave(r *request) {
	q.remove(r)
	if r.class == ClassPatient || q.classes[ClassPatient].length == 0 {
		q.urgent = 0
	} else {
		q.urgent++
	}
}

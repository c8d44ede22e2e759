package placement

import "time"

// Reserve adds a request to the load of the chosen backend server, and its shared
// parts to the prompts cached there.
func (p *Placer) Reserve(now time.Time, c Choice, parts []Part) *Reservation {
	reservation := c.reservation
	if r := p.servers.Get(reservation.Server); r != nil {
		r.localSum.Waiting.addRequest(reservation.Rank, 1, reservation.Pending)
		r.localSum.Memory += reservation.Memory
		reservation.lightlyLoaded = r.lightlyLoaded()
		r.cache.add(now, parts)
		if p.serverSpeeds {
			p.recordArrival(now, r, reservation.Pending)
		}
	}
	return &reservation
}

// RecordFirstEvent records the first event of a request's answer.
func (p *Placer) RecordFirstEvent(now time.Time, reservation *Reservation) {
	if reservation.Running {
		return
	}
	reservation.Running, reservation.firstEventAt = true, now
	r := p.servers.Get(reservation.Server)
	if r == nil {
		return
	}
	r.localSum.Waiting.addRequest(reservation.Rank, -1, reservation.Pending)
	r.localSum.Running++
	r.health.recordSuccess(now)
	millis := float64(now.Sub(reservation.sentAt)) / float64(time.Millisecond)
	p.learnFirstEventSpeed(now, r, reservation, millis)
	p.paceAnswer(now, r, reservation, millis)
	if r.Memory == 0 && r.requestCount() <= r.Slots {
		p.speed(reservation.service).learnRequest(now, millis)
	}
	if r.Memory > 0 {
		p.learnFirstEvent(r, reservation, millis)
	}
}

// learnFirstEvent adds the time to a request's first event, in ms, to the
// learned speed.
func (p *Placer) learnFirstEvent(r *serverRow, reservation *Reservation, millis float64) {
	s := p.speed(reservation.service)
	running := float64(r.localSum.Running + r.peerSum.Running)
	s.firstEvent.learn((reservation.promptAhead+float64(reservation.Pending))*(1+decodeSlowdown*running), millis)
	if reservation.lightlyLoaded && r.lightlyLoaded() {
		s.lightFirstEvent.learn(reservation.promptAhead+float64(reservation.Pending), millis)
	}
}

// Release removes an ended request from the load of its backend server. The
// argument complete says whether its answer was complete.
func (p *Placer) Release(now time.Time, reservation *Reservation, complete bool) {
	r := p.servers.Get(reservation.Server)
	if complete && reservation.Running {
		s, runMillis := p.speed(reservation.service), float64(now.Sub(reservation.firstEventAt))/float64(time.Millisecond)
		s.learnRun(runMillis)
		if reservation.Output > 0 {
			if r != nil {
				p.learnOutputSpeed(now, r, reservation, runMillis)
			}
			s.learnOutput(runMillis, float64(reservation.Output), reservation.lightlyLoaded && r != nil && r.lightlyLoaded())
		}
	}
	if r == nil {
		return
	}
	if reservation.Running {
		r.localSum.Running--
	} else {
		p.learnUnanswered(now, r, reservation)
		r.localSum.Waiting.addRequest(reservation.Rank, -1, reservation.Pending)
	}
	r.localSum.Memory -= reservation.Memory
}

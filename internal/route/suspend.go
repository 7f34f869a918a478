package route

import "time"

// suspend stops new requests to a backend server that keeps failing, unless half of
// the backend servers are suspended already: then the requests are the more likely
// cause.
func (p *Picker) suspend(b *backend, now time.Time) {
	if !b.suspendedUntil.IsZero() || 2*(len(p.suspended)+1) > len(p.backends) {
		return
	}
	b.suspend(now)
	p.suspended = append(p.suspended, b)
}

// endSuspensions ends the suspensions whose time is over.
func (p *Picker) endSuspensions(now time.Time) {
	for i := 0; i < len(p.suspended); {
		b := p.suspended[i]
		if now.Before(b.suspendedUntil) {
			i++
			continue
		}
		p.suspended = append(p.suspended[:i], p.suspended[i+1:]...)
		p.update(b, func() { b.suspendedUntil = time.Time{} })
	}
}

// removeSuspended removes a backend server from the list of suspended ones.
func (p *Picker) removeSuspended(b *backend) {
	for i, other := range p.suspended {
		if other == b {
			p.suspended = append(p.suspended[:i], p.suspended[i+1:]...)
			return
		}
	}
}

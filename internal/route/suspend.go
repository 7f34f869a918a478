package route

import "time"

// suspend stops new requests to a backend server that fails everything, unless
// half of the fleet is suspended already: then the requests are at fault.
func (p *Picker) suspend(b *backend, now time.Time) {
	if !b.until.IsZero() || 2*(len(p.suspended)+1) > len(p.backends) {
		return
	}
	b.suspend(now)
	p.suspended = append(p.suspended, b)
}

// release ends the suspensions that are over.
func (p *Picker) release(now time.Time) {
	for i := 0; i < len(p.suspended); {
		b := p.suspended[i]
		if now.Before(b.until) {
			i++
			continue
		}
		p.suspended = append(p.suspended[:i], p.suspended[i+1:]...)
		p.change(b, func() { b.until = time.Time{} })
	}
}

func (p *Picker) dropSuspended(b *backend) {
	for i, other := range p.suspended {
		if other == b {
			p.suspended = append(p.suspended[:i], p.suspended[i+1:]...)
			return
		}
	}
}

package model

// Team shares the fleet with other teams and holds guarantees on it.
type Team struct {
	Name       string      `json:"name"`
	Guarantees []Guarantee `json:"guarantees,omitempty"`
	Slots      int         `json:"slots"`          // slots on backend servers that the team is guaranteed
	Weight     int         `json:"weight"`         // share of what is borrowed, relative to other teams
	Quota      int         `json:"quota"`          // accelerators that the team may use at most; 0 means no limit
	Keys       []string    `json:"keys,omitempty"` // hex SHA-256 of each caller key of the team
}

// Service is a kind of work that backend servers announce and callers request.
type Service struct {
	Name     string   `json:"name"`
	Teams    []string `json:"teams,omitempty"` // teams that may call it; empty means every team
	ShortMs  int      `json:"shortms"`         // a request at most this long, in milliseconds, is short
	LimitMs  int      `json:"limitms"`         // milliseconds that a request may take at most
	Reserve  int      `json:"reserve"`         // slots per backend server that long requests never take
	BodyMax  int64    `json:"bodymax"`         // bytes that a request's body may hold at most
	KeepDays int      `json:"keepdays"`        // days that the answer of a non-idempotent request is kept
}

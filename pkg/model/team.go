package model

// Team is a tenant: it shares the fleet with other teams and has guarantees on it.
type Team struct {
	Name       string      `json:"name" validate:"label"`
	Guarantees []Guarantee `json:"guarantees,omitempty" validate:"max=256,dive"`
	Slots      int         `json:"slots" validate:"min=0,max=1000000"`                              // slots on backend servers that the team is guaranteed
	Weight     int         `json:"weight" validate:"min=0,max=1000000"`                             // share of the borrowed capacity, relative to other teams
	Quota      int         `json:"quota" validate:"min=0,max=1000000"`                              // largest number of accelerators that the team may use; 0 means no limit
	Keys       []string    `json:"keys,omitempty" validate:"max=64,unique,dive,len=64,hexadecimal"` // hex SHA-256 of each caller key of the team
}

// Service is a kind of work that backend servers announce and callers request.
type Service struct {
	Name         string   `json:"name" validate:"label"`
	Teams        []string `json:"teams,omitempty" validate:"max=1000,unique"` // teams that may call it; empty means every team
	ShortMs      int      `json:"shortms" validate:"min=0,ltefield=LimitMs"`  // a request at most this long, in milliseconds, is short
	LimitMs      int      `json:"limitms" validate:"min=1,max=604800000"`     // longest time that a request may take, in milliseconds
	Reserve      int      `json:"reserve" validate:"min=0,max=100000"`        // slots per backend server that long requests never take
	MaxBodyBytes int64    `json:"bodymax" validate:"min=0,max=1099511627776"` // largest body of a request, in bytes
	KeepDays     int      `json:"keepdays" validate:"min=0,max=365"`          // days that the answer of a non-idempotent request is kept
}

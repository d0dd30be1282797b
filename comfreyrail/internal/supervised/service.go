package supervised

import "github.com/thejerf/suture/v4"

// Service is a service with the name by which the supervisor's events call it.
type Service struct {
	suture.Service

	// Name is the name.
	Name string
}

// Named returns the service with a name.
func Named(name string, service suture.Service) Service { return Service{Service: service, Name: name} }

// String returns the name.
func (s Service) String() string { return s.Name }

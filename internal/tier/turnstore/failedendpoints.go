package turnstore

import (
	"time"
)

const (
	failedEndpointTTL  = 10 * time.Second // how long an endpoint is avoided after an attempt of the program failed there
	maxFailedEndpoints = 4                // maximum number of endpoints that are stored for a program
)

// failedEndpoint is an endpoint at which an attempt of a program ended without a complete answer.
type failedEndpoint struct {
	instance string
	at       time.Time
}

// recordFailedEndpoint records that an attempt of a program failed at an instance, if that is not empty. It is a hint for the next
// attempts of the program through any gateway, and is neither synced nor replicated.
func (p *partition) recordFailedEndpoint(name, instance string, now time.Time) {
	program := p.programs[name]
	if program == nil || instance == "" {
		return
	}
	recent := make([]failedEndpoint, 0, maxFailedEndpoints)
	for _, failed := range program.failedEndpoints {
		if failed.instance != instance && now.Sub(failed.at) <= failedEndpointTTL {
			recent = append(recent, failed)
		}
	}
	if len(recent) == maxFailedEndpoints {
		recent = recent[1:]
	}
	program.failedEndpoints = append(recent, failedEndpoint{instance, now})
}

// failedEndpoints returns the instances at which attempts of a program failed within failedEndpointTTL.
func (p *partition) failedEndpoints(name string, now time.Time) (instances []string) {
	program := p.programs[name]
	if program == nil {
		return nil
	}
	for _, failed := range program.failedEndpoints {
		if now.Sub(failed.at) <= failedEndpointTTL {
			instances = append(instances, failed.instance)
		}
	}
	return instances
}

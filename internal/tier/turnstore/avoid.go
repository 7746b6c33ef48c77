package turnstore

import "time"

const (
	failedEndpointTTL  = 10 * time.Second // an endpoint is avoided for so long after an attempt of the program ended there without its answer
	maxFailedEndpoints = 4                // endpoints that are remembered of a program
)

// failedEndpoint is an endpoint at which an attempt of a program ended without its answer.
type failedEndpoint struct {
	instance string
	at       time.Time
}

// recordFailedEndpoint remembers where an attempt of a program ended without its answer. It is a hint for the next attempts of this program,
// which may come through any gateway: it is neither synced nor replicated.
func (p *partition) recordFailedEndpoint(name, instance string, now time.Time) {
	program := p.programs[name]
	if program == nil || instance == "" {
		return
	}
	kept := make([]failedEndpoint, 0, maxFailedEndpoints)
	for _, failed := range program.failedEndpoints {
		if failed.instance != instance && now.Sub(failed.at) <= failedEndpointTTL {
			kept = append(kept, failed)
		}
	}
	if len(kept) == maxFailedEndpoints {
		kept = kept[1:]
	}
	program.failedEndpoints = append(kept, failedEndpoint{instance, now})
}

// failedEndpoints gives the endpoints at which attempts of a program ended of late without their answers.
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

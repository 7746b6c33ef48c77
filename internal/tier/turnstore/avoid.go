package turnstore

import "time"

const (
	avoidTime = 10 * time.Second // an endpoint is avoided for so long after an attempt of the program ended there without its answer
	maxAvoid  = 4                // endpoints that are remembered of a program
)

// failedEndpoint is an endpoint at which an attempt of a program ended without its answer.
type failedEndpoint struct {
	instance string
	at       time.Time
}

// noteFailed remembers where an attempt of a program ended without its answer. It is a hint for the next attempts of this program,
// which may come through any gateway: it is neither synced nor replicated.
func (p *partition) noteFailed(name, instance string, now time.Time) {
	program := p.programs[name]
	if program == nil || instance == "" {
		return
	}
	kept := make([]failedEndpoint, 0, maxAvoid)
	for _, failed := range program.failed {
		if failed.instance != instance && now.Sub(failed.at) <= avoidTime {
			kept = append(kept, failed)
		}
	}
	if len(kept) == maxAvoid {
		kept = kept[1:]
	}
	program.failed = append(kept, failedEndpoint{instance, now})
}

// avoided gives the endpoints at which attempts of a program ended of late without their answers.
func (p *partition) avoided(name string, now time.Time) (instances []string) {
	program := p.programs[name]
	if program == nil {
		return nil
	}
	for _, failed := range program.failed {
		if now.Sub(failed.at) <= avoidTime {
			instances = append(instances, failed.instance)
		}
	}
	return instances
}

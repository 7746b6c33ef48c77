package controlplane

import (
	"bytes"
	"compress/gzip"
	"sync"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// compressThreshold is the encoded size, in bytes, from which a list of endpoints is packed for sessions.
const compressThreshold = 4 << 10

// compressedEndpoints is a list of endpoints as sessions get it. It is made when the first session needs it, and once for all:
// a changed list goes to all sessions at the same time, and to encode a long one for each of them would overload the primary.
type compressedEndpoints struct {
	full *tierv1.Endpoints

	once       sync.Once
	compressed *tierv1.Endpoints
}

// endpointsFor gives the list as the caller can read it.
func (v *view) endpointsFor(req *tierv1.WatchRequest) *tierv1.Endpoints {
	if !req.AcceptsPackedEndpoints {
		return v.endpoints
	}
	return v.compressedEndpoints.get()
}

func (p *compressedEndpoints) get() *tierv1.Endpoints {
	p.once.Do(func() { p.compressed = compressEndpoints(p.full) })
	return p.compressed
}

// compressEndpoints gives a list with its entries compressed, or the list itself where it is short or can't be packed.
func compressEndpoints(full *tierv1.Endpoints) *tierv1.Endpoints {
	body, err := proto.Marshal(&tierv1.Endpoints{List: full.List})
	if err != nil || len(body) < compressThreshold {
		return full
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return full
	}
	if _, err := w.Write(body); err != nil {
		return full
	}
	if err := w.Close(); err != nil {
		return full
	}
	return &tierv1.Endpoints{Version: full.Version, Packed: b.Bytes()}
}

// compressConfiguration gives a configuration as sessions get it. Routes are much alike, and all sessions take it at each change.
func compressConfiguration(c *tierv1.Configuration) *tierv1.Configuration {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err == nil {
		if _, err = w.Write(c.Body); err == nil {
			err = w.Close()
		}
	}
	if err != nil || b.Len() >= len(c.Body) {
		return c
	}
	return &tierv1.Configuration{Version: c.Version, Packed: b.Bytes()}
}

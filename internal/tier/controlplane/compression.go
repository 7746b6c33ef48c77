package controlplane

import (
	"bytes"
	"compress/gzip"
	"sync"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// compressThreshold is the encoded size, in bytes, from which an endpoint list is compressed for sessions.
const compressThreshold = 4 << 10

// compressedEndpoints is an endpoint list in the form sent to sessions. It is compressed once, when the first session needs it:
// a changed list goes to all sessions at the same time, and encoding a long list for each would overload the primary.
type compressedEndpoints struct {
	full *tierv1.Endpoints

	once       sync.Once
	compressed *tierv1.Endpoints
}

// get returns the list with its entries compressed, or the list itself if it is short.
func (list *compressedEndpoints) get() *tierv1.Endpoints {
	list.once.Do(func() { list.compressed = compressEndpoints(list.full) })
	return list.compressed
}

// endpointsFor returns the list in the form that the caller can read.
func (state *publishedState) endpointsFor(req *tierv1.WatchRequest) *tierv1.Endpoints {
	if !req.AcceptsPackedEndpoints {
		return state.endpoints
	}
	return state.compressedEndpoints.get()
}

// compressEndpoints returns a list with its entries compressed, or the list itself if it is short or can't be compressed.
func compressEndpoints(full *tierv1.Endpoints) *tierv1.Endpoints {
	body, err := proto.Marshal(&tierv1.Endpoints{List: full.List})
	if err != nil || len(body) < compressThreshold {
		return full
	}
	packed, err := compress(body)
	if err != nil {
		return full
	}
	return &tierv1.Endpoints{Version: full.Version, Packed: packed}
}

// compressConfiguration returns a configuration in the form sent to sessions: compressed if that is shorter. Routes are similar
// to each other and compress well, and each change is sent to all sessions.
func compressConfiguration(full *tierv1.Configuration) *tierv1.Configuration {
	packed, err := compress(full.Body)
	if err != nil || len(packed) >= len(full.Body) {
		return full
	}
	return &tierv1.Configuration{Version: full.Version, Packed: packed}
}

// compress returns a body in gzip's format (RFC 1952).
func compress(body []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(body); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

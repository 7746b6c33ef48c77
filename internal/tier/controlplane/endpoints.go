package controlplane

import (
	"bytes"
	"compress/gzip"
	"sync"

	"google.golang.org/protobuf/proto"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// packFrom is the encoded size, in bytes, from which a list of endpoints is packed for sessions.
const packFrom = 4 << 10

// packedEndpoints is a list of endpoints as sessions get it. It is made when the first session needs it, and once for all:
// a changed list goes to all sessions at the same time, and to encode a long one for each of them would overload the primary.
type packedEndpoints struct {
	whole *tierv1.Endpoints

	once   sync.Once
	packed *tierv1.Endpoints
}

// setEndpoints replaces the list of a view that nobody has been shown yet.
func (v *view) setEndpoints(list *tierv1.Endpoints) {
	v.endpoints = list
	v.packedList = &packedEndpoints{whole: list}
}

// endpointsFor gives the list as the caller can read it.
func (v *view) endpointsFor(req *tierv1.WatchRequest) *tierv1.Endpoints {
	if !req.UnpacksEndpoints {
		return v.endpoints
	}
	return v.packedList.get()
}

func (p *packedEndpoints) get() *tierv1.Endpoints {
	p.once.Do(func() { p.packed = packEndpoints(p.whole) })
	return p.packed
}

// packEndpoints gives a list with its entries compressed, or the list itself where it is short or can't be packed.
func packEndpoints(whole *tierv1.Endpoints) *tierv1.Endpoints {
	body, err := proto.Marshal(&tierv1.Endpoints{List: whole.List})
	if err != nil || len(body) < packFrom {
		return whole
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return whole
	}
	if _, err := w.Write(body); err != nil {
		return whole
	}
	if err := w.Close(); err != nil {
		return whole
	}
	return &tierv1.Endpoints{Version: whole.Version, Packed: b.Bytes()}
}

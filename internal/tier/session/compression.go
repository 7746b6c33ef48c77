package session

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// maxDecompressed is the maximum size of decompressed data, in bytes.
const maxDecompressed = 64 << 20

// errTooLarge says that decompressed data has more than maxDecompressed bytes.
var errTooLarge = errors.New("more than 64 MiB decompressed")

// decompressConfiguration returns a configuration as the operator sent it. The error wraps that of decompress.
func decompressConfiguration(packed *tierv1.Configuration) (*tierv1.Configuration, error) {
	body, err := decompress(packed.Packed)
	if err != nil {
		return nil, fmt.Errorf("configuration of version %d: %w", packed.Version, err)
	}
	return &tierv1.Configuration{Version: packed.Version, Body: body}, nil
}

// decompressEndpoints returns an endpoint list with its entries. The error wraps that of decompress or of the decoder.
func decompressEndpoints(packed *tierv1.Endpoints) (*tierv1.Endpoints, error) {
	body, err := decompress(packed.Packed)
	if err != nil {
		return nil, fmt.Errorf("endpoints of version %d: %w", packed.Version, err)
	}
	full := &tierv1.Endpoints{}
	if err := proto.Unmarshal(body, full); err != nil {
		return nil, fmt.Errorf("endpoints of version %d: %w", packed.Version, err)
	}
	full.Version = packed.Version
	return full, nil
}

// decompress decompresses data in gzip format (RFC 1952). The error is errTooLarge or that of the decoder.
func decompress(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(reader, maxDecompressed+1))
	if err == nil && len(body) > maxDecompressed {
		err = errTooLarge
	}
	return body, err
}

package nameserver

import (
	"crypto/hmac"
	"crypto/sha1" //nolint:gosec // RFC 8945 6 requires support of HMAC-SHA1
	"crypto/sha256"
	"crypto/sha512"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"os"
	"strings"
	"sync/atomic"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/zone"
)

// Key is a TSIG key (RFC 8945).
type Key struct {
	Name      string // absolute, lower case
	Algorithm string // as in a TSIG record, "hmac-sha256."
	secret    []byte
}

const (
	minSecretBytes  = 16 // RFC 8945 8 recommends the digest's length; the minimum here is half the length of a SHA-256 digest
	maxKeys         = 1000
	maxFudgeSeconds = 300 // recommended by RFC 8945 10; bounds a larger fudge of a message
)

func hashOf(algorithm string) (func() hash.Hash, bool) {
	switch dns.CanonicalName(algorithm) {
	case dns.HmacSHA1:
		return sha1.New, true
	case dns.HmacSHA224:
		return sha256.New224, true
	case dns.HmacSHA256:
		return sha256.New, true
	case dns.HmacSHA384:
		return sha512.New384, true
	case dns.HmacSHA512:
		return sha512.New, true
	}
	return nil, false
}

// ReadKeys reads a key file: one key per line, "NAME ALGORITHM SECRET", the secret in base64. Errors name the file and the line, but
// never a secret.
func ReadKeys(path string) ([]Key, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return parseKeys(path, string(raw))
}

func parseKeys(path, text string) ([]Key, error) {
	var keys []Key
	seen := map[string]bool{}
	for i, line := range strings.Split(text, "\n") {
		f := strings.Fields(line)
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		bad := func(format string, args ...any) error {
			return &KeyFileError{Path: path, Line: i + 1, Detail: fmt.Sprintf(format, args...)}
		}
		if len(f) != 3 {
			return nil, bad("a line is NAME ALGORITHM SECRET, but this line has %d words", len(f))
		}
		if !zone.IsName(f[0]) {
			return nil, bad("%q is not a domain name", f[0])
		}
		k := Key{Name: zone.Name(f[0]), Algorithm: zone.Name(f[1])}
		if _, ok := hashOf(k.Algorithm); !ok {
			return nil, bad("algorithm %q is not hmac-sha1, -sha224, -sha256, -sha384 or -sha512", f[1])
		}
		if k.secret = decodeSecret(f[2]); k.secret == nil {
			return nil, bad("the secret is not valid base64")
		}
		if len(k.secret) < minSecretBytes {
			return nil, bad("the secret has %d bytes; the minimum is %d", len(k.secret), minSecretBytes)
		}
		if seen[k.Name] {
			return nil, bad("duplicate key %s", k.Name)
		}
		seen[k.Name] = true
		if keys = append(keys, k); len(keys) > maxKeys {
			return nil, bad("more than %d keys", maxKeys)
		}
	}
	return keys, nil
}

// Keyring is a set of TSIG keys that can be replaced while it is in use. It is safe for concurrent use.
type Keyring struct {
	keys atomic.Pointer[map[string]Key]
}

// NewKeyring returns a keyring with keys.
func NewKeyring(keys []Key) *Keyring {
	r := &Keyring{}
	r.Set(keys)
	return r
}

// Set replaces the keys; messages signed with any other key are rejected from now on.
func (r *Keyring) Set(keys []Key) {
	m := make(map[string]Key, len(keys))
	for _, k := range keys {
		m[k.Name] = k
	}
	r.keys.Store(&m)
}

func (r *Keyring) get(name string) (Key, bool) {
	k, ok := (*r.keys.Load())[zone.Name(name)]
	return k, ok
}

// Has reports whether there is a key with a name.
func (r *Keyring) Has(name string) bool {
	_, ok := r.get(name)
	return ok
}

func (r *Keyring) mac(msg []byte, t *dns.TSIG) ([]byte, error) {
	k, ok := r.get(t.Hdr.Name)
	if !ok {
		return nil, dns.ErrSecret
	}
	if zone.Name(t.Algorithm) != k.Algorithm {
		return nil, dns.ErrKeyAlg
	}
	h, _ := hashOf(k.Algorithm)
	m := hmac.New(h, k.secret)
	m.Write(msg)
	return m.Sum(nil), nil
}

// Generate implements dns.TsigProvider.
func (r *Keyring) Generate(msg []byte, t *dns.TSIG) ([]byte, error) { return r.mac(msg, t) }

// Verify implements dns.TsigProvider. It rejects truncated signatures, as RFC 8945 5.2.2.1 allows.
func (r *Keyring) Verify(msg []byte, t *dns.TSIG) error {
	want, err := r.mac(msg, t)
	if err != nil {
		return err
	}
	got, err := hex.DecodeString(t.MAC)
	if err != nil || !hmac.Equal(got, want) {
		return dns.ErrSig
	}
	return nil
}

// Sign adds a TSIG record for a key to a message; the signature is computed when the message is sent. now is the time in Unix seconds.
func (r *Keyring) Sign(m *dns.Msg, name string, now int64) error {
	k, ok := r.get(name)
	if !ok {
		return configError("there is no key %s", name)
	}
	m.SetTsig(k.Name, k.Algorithm, maxFudgeSeconds, now)
	return nil
}

var errUnsigned = errors.New("the answer is not signed")

func decodeSecret(text string) []byte {
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil
	}
	return b
}

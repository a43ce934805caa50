package api

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"math/big"
	"strings"

	"cleatpick/internal/config"

	"github.com/valyala/fasthttp"
)

// key is an API key: only the hash of its token is known here.
type key struct {
	name string
	rank int
	hash [sha256.Size]byte
}

// readKeys reads the keys of the settings and skips those whose hash is malformed.
func readKeys(all []config.Key) []key {
	out := make([]key, 0, len(all))
	for _, k := range all {
		x := key{name: k.Name, rank: config.RoleRank(k.Role)}
		if n, err := hex.Decode(x.hash[:], []byte(k.SHA256)); err == nil && n == sha256.Size {
			out = append(out, x)
		}
	}
	return out
}

// authenticate finds the key that a request carries as a bearer token. It compares with all keys, each in constant time,
// so that the time taken reveals nothing about the keys.
func (a *API) authenticate(ctx *fasthttp.RequestCtx) (key, bool) {
	scheme, token, _ := strings.Cut(string(ctx.Request.Header.Peek("Authorization")), " ")
	hash := sha256.Sum256([]byte(token))
	var found key
	ok := 0
	for i := range a.keys {
		if subtle.ConstantTimeCompare(hash[:], a.keys[i].hash[:]) == 1 {
			found, ok = a.keys[i], 1
		}
	}
	return found, ok == 1 && strings.EqualFold(scheme, "Bearer")
}

// NewKey returns the random token of a new key, and the key's entry for the settings, which has only the token's hash.
func NewKey(name, role string) (token string, k config.Key) {
	var b [32]byte
	rand.Read(b[:]) // documented never to return an error
	token = base64.RawURLEncoding.EncodeToString(b[:])
	hash := sha256.Sum256([]byte(token))
	return token, config.Key{Name: name, Role: role, SHA256: hex.EncodeToString(hash[:])}
}

// NewJobID returns a random job id with 18 digits, so that two jobs practically never get the same id.
func NewJobID() string {
	n, err := rand.Int(rand.Reader, new(big.Int).Exp(big.NewInt(10), big.NewInt(18), nil))
	if err != nil {
		panic(err) // the system's source of random numbers failed
	}
	return fmt.Sprintf("job-%018d", n)
}

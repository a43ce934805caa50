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

type key struct {
	name string
	rank int
	hash [sha256.Size]byte
}

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

// authenticate finds the key that a request shows. All keys are compared, each in
// constant time, so that how long it takes tells nothing.
func (a *API) authenticate(ctx *fasthttp.RequestCtx) (key, bool) {
	word, token, _ := strings.Cut(string(ctx.Request.Header.Peek("Authorization")), " ")
	hash := sha256.Sum256([]byte(token))
	var found key
	ok := 0
	for i := range a.keys {
		if subtle.ConstantTimeCompare(hash[:], a.keys[i].hash[:]) == 1 {
			found, ok = a.keys[i], 1
		}
	}
	return found, ok == 1 && strings.EqualFold(word, "Bearer")
}

// NewKey draws a key and its entry for the operators' file.
func NewKey(name, role string) (token string, k config.Key) {
	var b [32]byte
	rand.Read(b[:]) // never fails
	token = base64.RawURLEncoding.EncodeToString(b[:])
	hash := sha256.Sum256([]byte(token))
	return token, config.Key{Name: name, Role: role, SHA256: hex.EncodeToString(hash[:])}
}

// NewJobID draws an id that no other job has.
func NewJobID() string {
	n, err := rand.Int(rand.Reader, new(big.Int).Exp(big.NewInt(10), big.NewInt(18), nil))
	if err != nil {
		panic(err) // the system has no randomness
	}
	return fmt.Sprintf("job-%018d", n)
}

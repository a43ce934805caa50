package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// MostKeys bounds the keys of an operators' file.
const MostKeys = 200

// The roles of keys; each may do what those before it may.
var roles = map[string]int{"read": 1, "submit": 2, "operate": 3}

// RoleRank orders the roles; 0 stands for none.
func RoleRank(role string) int { return roles[role] }

func (a *API) check(bad func(field, why string)) {
	if len(a.Keys) > MostKeys {
		bad("operator api.keys", fmt.Sprintf("are %d, at most %d are allowed", len(a.Keys), MostKeys))
	}
	seen := map[string]bool{}
	for i, k := range a.Keys {
		f := fmt.Sprintf("operator api.keys[%d].", i)
		if k.Name == "" || len(k.Name) > 64 {
			bad(f+"name", "must have 1 to 64 bytes")
		}
		if seen[k.Name] {
			bad(f+"name", "names a key twice: "+k.Name)
		}
		seen[k.Name] = true
		if RoleRank(k.Role) == 0 {
			bad(f+"role", fmt.Sprintf("must be read, submit or operate, is %q", k.Role))
		}
		if b, err := hex.DecodeString(k.SHA256); err != nil || len(b) != sha256.Size {
			bad(f+"sha256", "must be 64 hexadecimal digits")
		}
	}
}

package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// MaxKeys is the maximum number of API keys in the operators' settings file.
const MaxKeys = 200

// roles maps each role of an API key to its rank. A role includes the permissions of all roles of lower rank.
var roles = map[string]int{"read": 1, "submit": 2, "operate": 3}

// RoleRank returns the rank of a role, which is higher for a role with more permissions, or 0 for an unknown role.
func RoleRank(role string) int { return roles[role] }

func (a *API) check(invalid func(field, why string)) {
	if len(a.Keys) > MaxKeys {
		invalid("operator api.keys", fmt.Sprintf("has %d entries, at most %d are allowed", len(a.Keys), MaxKeys))
	}
	seen := map[string]bool{}
	for i, k := range a.Keys {
		f := fmt.Sprintf("operator api.keys[%d].", i)
		if k.Name == "" || len(k.Name) > 64 {
			invalid(f+"name", "must be 1 to 64 bytes long")
		}
		if seen[k.Name] {
			invalid(f+"name", "duplicate key name: "+k.Name)
		}
		seen[k.Name] = true
		if RoleRank(k.Role) == 0 {
			invalid(f+"role", fmt.Sprintf("must be read, submit or operate, got %q", k.Role))
		}
		if b, err := hex.DecodeString(k.SHA256); err != nil || len(b) != sha256.Size {
			invalid(f+"sha256", "must be the SHA-256 of the key as 64 hexadecimal digits")
		}
	}
}

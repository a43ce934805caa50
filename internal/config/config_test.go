package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `
label = "s-0"
site = "x"
client_listen = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
unknown = 4
[[known]]
label = "s-1"
site = "y"
endpoint = "10.0.0.2:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
nodes = 2
zones = ["x", "y"]
clock_off_ms = 100.0
[[cluster.teams]]
name = "red"
cpus = 8.0
cpus_max = 16.0
[cluster.workers]
report_s = 3.0
lease_s = 19.0
cancel_s = 39.0
[cluster.state]
rps = 100.0
write_rps = 40.0
value_kb = 32.0
txn_ops = 16
[cluster.cloud]
rps = 2.0
list_lag_s = 3.0
[cluster.limits]
cores = 0.24
ram_mb = 179.0
max_sockets = 1800
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	f := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

// Guards against invalid settings that are accepted or reported without their field: valid files are loaded with the
// defaults of the operators' settings, and each invalid setting is named in the error.
func TestLoad(t *testing.T) {
	c, err := Load(writeSettings(t, validSettings), writeSettings(t, "standby_mean_s = 120.0\n"))
	if err != nil {
		t.Fatal(err)
	}
	if c.Label != "s-0" || c.Operator.StandbyMeanS != 120 || c.Operator.NodeLeaseS != Defaults().NodeLeaseS {
		t.Fatalf("the settings are loaded as %+v", c)
	}
	for _, x := range []struct{ old, new, names string }{
		{`label = "s-0"`, ``, "label: is missing"},
		{`label = "s-1"`, `label = "s-0"`, "known[0].label: duplicate node label"},
		{`cancel_s = 39.0`, `cancel_s = 9.0`, "cluster.workers.cancel_s"},
		{`rps = 2.0`, `rps = -2.0`, "cluster.cloud.rps"},
		{`rps = 2.0`, `rps = "two"`, "rps"},
		{`state = "10.2.0.1:2379"`, `state = "10.2.0.1"`, "outside.state: must be HOST:PORT"},
		{`cpus = 8.0`, `cpus = nan`, "cluster.teams[0].cpus"},
		{`[outside]`, `[outside`, "settings.toml"},
	} {
		_, err := Load(writeSettings(t, strings.Replace(validSettings, x.old, x.new, 1)), "")
		if err == nil || !strings.Contains(err.Error(), x.names) {
			t.Errorf("%q instead of %q: error %v, want it to contain %q", x.new, x.old, err, x.names)
		}
	}
	if _, err := Load(writeSettings(t, validSettings), writeSettings(t, "node_lease_s = 0.1\n")); err == nil || !strings.Contains(err.Error(), "node_lease_s") {
		t.Errorf("node_lease_s = 0.1: error %v, want it to name node_lease_s", err)
	}
}

// The operators' files in the repository are valid and enable the API, and an invalid API key is reported with its
// index and field.
func TestAPISection(t *testing.T) {
	for _, file := range []string{"operator.toml", "service-operator.toml"} {
		c, err := Load(writeSettings(t, validSettings), filepath.Join("..", "..", "deploy", file))
		if err != nil || !c.Operator.API.Enabled {
			t.Errorf("%s: %v, enabled %v", file, err, c != nil && c.Operator.API.Enabled)
		}
	}
	hash := strings.Repeat("ab", 32)
	key := func(name, role, hash string) string {
		return "[[api.keys]]\nname = \"" + name + "\"\nrole = \"" + role + "\"\nsha256 = \"" + hash + "\"\n"
	}
	for _, x := range []struct{ file, names string }{
		{key("a", "read", hash) + key("a", "submit", hash), "api.keys[1].name"},
		{key("", "read", hash), "api.keys[0].name"},
		{key("a", "root", hash), "api.keys[0].role"},
		{key("a", "read", hash[1:]), "api.keys[0].sha256"},
		{key("a", "read", "zz"+hash[2:]), "api.keys[0].sha256"},
	} {
		if _, err := Load(writeSettings(t, validSettings), writeSettings(t, x.file)); err == nil || !strings.Contains(err.Error(), x.names) {
			t.Errorf("%q: error %v, want it to contain %q", x.file, err, x.names)
		}
	}
}

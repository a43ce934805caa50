package main

import (
	"fmt"
	"net/url"
	"os"
	"strconv"

	"cleatpick/internal/api"

	"github.com/pelletier/go-toml/v2"
)

type machinesCmd struct {
	remoteFlags
	Zone  string `help:"Only machines in this zone."`
	Type  string `help:"Only machines of this type."`
	Kind  string `help:"Only machines of this kind: spot or ordinary."`
	Shut  string `help:"Only machines blocked by this predicate, such as cordon, rested or heard."`
	After string `help:"Only machines with a name after this one." placeholder:"NAME"`
	Limit int    `help:"Maximum number of machines to list." default:"100"`
}

// Run lists machines.
func (s *machinesCmd) Run() error {
	q := url.Values{"zone": {s.Zone}, "type": {s.Type}, "kind": {s.Kind}, "shut": {s.Shut}, "after": {s.After}, "limit": {strconv.Itoa(s.Limit)}}
	return send(&s.remoteFlags, "GET", "/v1/machines?"+encodeQuery(q), nil, showMachines)
}

type cordonCmd struct {
	remoteFlags
	Name    string `arg:"" help:"The cordon's name."`
	Machine string `help:"Cordon this machine."`
	Type    string `help:"Cordon machines of this type."`
	Zone    string `help:"Cordon machines in this zone."`
	Kind    string `help:"Cordon machines of this kind: spot or ordinary."`
	Reason  string `help:"Reason, shown to users who ask." required:""`
	Until   string `help:"When the cordon ends by itself: a time (RFC 3339) or a duration such as 90m." placeholder:"TIME"`
}

// Run stores the cordon.
func (s *cordonCmd) Run() error {
	end, err := parseUntil(s.Until)
	if err != nil {
		return err
	}
	c := api.Cordon{Machine: s.Machine, Type: s.Type, Zone: s.Zone, Kind: s.Kind, Reason: s.Reason, Until: end}
	return send(&s.remoteFlags, "PUT", "/v1/cordons/"+url.PathEscape(s.Name), c, showCordon)
}

type uncordonCmd struct {
	remoteFlags
	Name string `arg:"" help:"The cordon's name."`
}

// Run removes the cordon.
func (s *uncordonCmd) Run() error {
	return send(&s.remoteFlags, "DELETE", "/v1/cordons/"+url.PathEscape(s.Name), nil, showUncordoned)
}

type cordonsCmd struct{ remoteFlags }

// Run lists the cordons.
func (s *cordonsCmd) Run() error { return send(&s.remoteFlags, "GET", "/v1/cordons", nil, showCordons) }

type keyCmd struct {
	Name string `arg:"" help:"Name of the key's holder."`
	Role string `help:"Role of the key: read, submit or operate." default:"read" enum:"read,submit,operate"`
}

// Run generates a key. It prints the key on standard output and the entry for the settings file on standard error.
func (s *keyCmd) Run() error {
	token, k := api.NewKey(s.Name, s.Role)
	entry, err := toml.Marshal(k)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "# add this to the operators' settings file of every controller:\n[[api.keys]]\n%s# the key, which is not shown again:\n", entry)
	fmt.Println(token)
	return nil
}

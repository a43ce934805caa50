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
	remote
	Zone  string `help:"Only in this zone."`
	Type  string `help:"Only of this type."`
	Kind  string `help:"spot or ordinary."`
	Shut  string `help:"Only those shut by this, such as cordon, rested or heard."`
	After string `help:"Only those behind this name." placeholder:"NAME"`
	Limit int    `help:"At most so many." default:"100"`
}

// Run lists machines.
func (s *machinesCmd) Run() error {
	q := url.Values{"zone": {s.Zone}, "type": {s.Type}, "kind": {s.Kind}, "shut": {s.Shut}, "after": {s.After}, "limit": {strconv.Itoa(s.Limit)}}
	return call(&s.remote, "GET", "/v1/machines?"+query(q), nil, showMachines)
}

type cordonCmd struct {
	remote
	Name    string `arg:"" help:"The cordon's name."`
	Machine string `help:"Keep starts off this machine."`
	Type    string `help:"Off this type."`
	Zone    string `help:"Off this zone."`
	Kind    string `help:"Off spot or ordinary machines."`
	Reason  string `help:"Why, for those who ask." required:""`
	Until   string `help:"When it ends by itself: a time (RFC 3339), or a duration such as 90m." placeholder:"TIME"`
}

// Run stores the cordon.
func (s *cordonCmd) Run() error {
	end, err := until(s.Until)
	if err != nil {
		return err
	}
	c := api.Cordon{Machine: s.Machine, Type: s.Type, Zone: s.Zone, Kind: s.Kind, Reason: s.Reason, Until: end}
	return call(&s.remote, "PUT", "/v1/cordons/"+url.PathEscape(s.Name), c, showCordon)
}

type uncordonCmd struct {
	remote
	Name string `arg:"" help:"The cordon's name."`
}

// Run lifts the cordon.
func (s *uncordonCmd) Run() error {
	return call(&s.remote, "DELETE", "/v1/cordons/"+url.PathEscape(s.Name), nil, showLifted)
}

type cordonsCmd struct{ remote }

// Run lists the cordons.
func (s *cordonsCmd) Run() error { return call(&s.remote, "GET", "/v1/cordons", nil, showCordons) }

type keyCmd struct {
	Name string `arg:"" help:"Whose key it is."`
	Role string `help:"read, submit or operate." default:"read" enum:"read,submit,operate"`
}

// Run prints the key on standard output and its entry on standard error.
func (s *keyCmd) Run() error {
	token, k := api.NewKey(s.Name, s.Role)
	entry, err := toml.Marshal(k)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "# add this to the operators' file of every controller:\n[[api.keys]]\n%s# the key, which is not shown again:\n", entry)
	fmt.Println(token)
	return nil
}

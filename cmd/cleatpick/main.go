// Command cleatpick is a controller of the cluster scheduler, and the command line for
// its users and operators.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"cleatpick/internal/client"

	"github.com/alecthomas/kong"
)

// version is what --version prints.
const version = "0.9.3"

type cli struct {
	Serve    serveCmd         `cmd:"" default:"withargs" help:"Run a controller (what happens without a command)."`
	Submit   submitCmd        `cmd:"" help:"Submit a job."`
	Explain  explainCmd       `cmd:"" help:"Tell every reason why a job's tasks do not run."`
	Jobs     jobsCmd          `cmd:"" help:"List jobs."`
	Queue    queueCmd         `cmd:"" help:"Tell why work waits, by team and class."`
	Hold     holdCmd          `cmd:"" help:"Keep a job's tasks from being started."`
	Release  releaseCmd       `cmd:"" help:"End a job's hold."`
	Withdraw withdrawCmd      `cmd:"" help:"Cancel a job."`
	Machines machinesCmd      `cmd:"" help:"List machines, and what keeps work off them."`
	Cordon   cordonCmd        `cmd:"" help:"Keep new starts off machines."`
	Uncordon uncordonCmd      `cmd:"" help:"Lift a cordon."`
	Cordons  cordonsCmd       `cmd:"" help:"List the cordons in force."`
	Key      keyCmd           `cmd:"" help:"Draw a key for /v1/ and print its entry for the operators' file."`
	Version  kong.VersionFlag `help:"Print the version and end."`
}

// remote are the flags of all commands that ask a controller.
type remote struct {
	Endpoint string `help:"Controllers to ask, tried in turn: HOST:PORT,..." env:"CLEATPICK_ENDPOINT" placeholder:"LIST"`
	KeyFile  string `help:"File that holds the key." env:"CLEATPICK_KEY_FILE" placeholder:"FILE"`
	JSON     bool   `name:"json" help:"Print JSON for programs."`
}

// usage is an error of the caller's: exit code 2.
type usage struct{ error }

func (r *remote) client() (*client.Client, error) {
	key := os.Getenv("CLEATPICK_KEY")
	if r.KeyFile != "" {
		var err error
		if key, err = client.ReadKey(r.KeyFile); err != nil {
			return nil, usage{err}
		}
	}
	c, err := client.New(r.Endpoint, key)
	if err != nil {
		return nil, usage{err}
	}
	return c, nil
}

func main() { os.Exit(run(os.Args[1:])) }

// run gives the exit code: 0; 1 when the answer is no, or the other end failed; 2 for misuse.
func run(args []string) int {
	var c cli
	parser := kong.Must(&c, kong.Name("cleatpick"), kong.Description("A cluster scheduler that rents machines by its misses."),
		kong.Vars{"version": "cleatpick " + version})
	ctx, err := parser.Parse(args)
	if err == nil {
		err = ctx.Run()
	} else {
		err = usage{err}
	}
	if err == nil {
		return 0
	}
	for _, line := range strings.Split(err.Error(), "\n") {
		fmt.Fprintln(os.Stderr, "cleatpick:", line)
	}
	if errors.As(err, &usage{}) {
		return 2
	}
	return 1
}

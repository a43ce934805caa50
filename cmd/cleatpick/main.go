// Command cleatpick runs a controller of the cluster scheduler, and is the command line for its users and operators.
// The package parses flags, sends requests to the controllers' HTTP interface under /v1/ and prints the answers, as
// tables or as JSON. Everything that a controller decides is left to package node and the packages below it.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"cleatpick/internal/client"

	"github.com/alecthomas/kong"
)

// version is the version that --version prints.
const version = "0.9.6"

type cli struct {
	Serve    serveCmd         `cmd:"" default:"withargs" help:"Run a controller (the default command)."`
	Submit   submitCmd        `cmd:"" help:"Submit a job."`
	Explain  explainCmd       `cmd:"" help:"Explain why a job's tasks do not run."`
	Jobs     jobsCmd          `cmd:"" help:"List jobs."`
	Queue    queueCmd         `cmd:"" help:"Show why tasks wait, by team and class."`
	Hold     holdCmd          `cmd:"" help:"Hold a job: start none of its tasks."`
	Release  releaseCmd       `cmd:"" help:"End a job's hold."`
	Withdraw withdrawCmd      `cmd:"" help:"Cancel a job."`
	Machines machinesCmd      `cmd:"" help:"List machines and what blocks starts on them."`
	Cordon   cordonCmd        `cmd:"" help:"Cordon machines: allow no new starts on them."`
	Uncordon uncordonCmd      `cmd:"" help:"Remove a cordon."`
	Cordons  cordonsCmd       `cmd:"" help:"List the cordons in force."`
	Key      keyCmd           `cmd:"" help:"Generate an API key for /v1/ and print its entry for the operators' settings file."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// apiFlags holds the flags of all commands that send requests to a controller.
type apiFlags struct {
	Endpoint string `help:"Controllers, tried in turn: HOST:PORT,..." env:"CLEATPICK_ENDPOINT" placeholder:"LIST"`
	KeyFile  string `help:"File that holds the API key." env:"CLEATPICK_KEY_FILE" placeholder:"FILE"`
	JSON     bool   `name:"json" help:"Print the answer as JSON."`
}

// usageError is an error in the arguments, the environment or a file given by the caller. The exit code is then 2.
type usageError struct{ error }

// client returns a client for the given endpoints and key.
func (f *apiFlags) client() (*client.Client, error) {
	key := os.Getenv("CLEATPICK_KEY")
	if f.KeyFile != "" {
		var err error
		if key, err = client.ReadKey(f.KeyFile); err != nil {
			return nil, usageError{err}
		}
	}
	c, err := client.New(f.Endpoint, key)
	if err != nil {
		return nil, usageError{err}
	}
	return c, nil
}

func main() { os.Exit(run(os.Args[1:])) }

// run executes the command line and returns the exit code: 0 on success, 1 if a controller refused the request or no
// controller could answer it, 2 for a usage error.
func run(args []string) int {
	var c cli
	parser := kong.Must(&c, kong.Name("cleatpick"), kong.Description("A cluster scheduler that rents cloud machines for tasks that do not fit on its machines."),
		kong.Vars{"version": "cleatpick " + version})
	ctx, err := parser.Parse(args)
	if err == nil {
		err = ctx.Run()
	} else {
		err = usageError{err}
	}
	if err == nil {
		return 0
	}
	for _, line := range strings.Split(err.Error(), "\n") {
		fmt.Fprintln(os.Stderr, "cleatpick:", line)
	}
	if errors.As(err, &usageError{}) {
		return 2
	}
	return 1
}

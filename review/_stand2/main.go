package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// scenario runs a case and returns whether the rule held, with a line that says why.
type scenario func(r *record, trouble bool) (held bool, why string)

var scenarios = map[string]scenario{}

// limit is the time after which a run is given up.
const limit = 117 * time.Second

// current is the world of the run.
var current *world

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: stand2 CASE FOLDER")
		os.Exit(2)
	}
	run := scenarios[os.Args[1]]
	if run == nil {
		fmt.Println("no such case:", os.Args[1])
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	r := &record{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.f("case %s, disruption %v", os.Args[1], trouble)
	code := make(chan int, 1)
	go func() {
		defer func() {
			if x := recover(); x != nil {
				b, ok := x.(broken)
				if !ok {
					panic(x)
				}
				r.f("the case could not run: %s", b.why)
				fmt.Println("the case could not run:", b.why)
				code <- 2
			}
		}()
		held, why := run(r, trouble)
		word := map[bool]string{true: "the rule held", false: "the rule was broken"}[held]
		r.f("%s: %s", word, why)
		fmt.Printf("%s: %s\n", word, why)
		code <- map[bool]int{true: 0, false: 1}[held]
	}()
	select {
	case c := <-code:
		os.Exit(c)
	case <-time.After(limit):
		r.f("the case could not run: it took too long")
		fmt.Println("the case could not run: it took too long")
		if current != nil {
			current.close()
		}
		os.Exit(2)
	}
}

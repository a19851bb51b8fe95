// Command review-harness-2 runs the cases of the second review. Each case starts instances of the program under test with
// the command of the deploy file, and stand-ins of the store, the servers and the requesters.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(*lab) (broken bool, err error){
	"cut-watches":   cutWatches,
	"restore":       restored,
	"mass-crash":    massCrash,
	"many-versions": manyVersions,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-harness-2 CASE ROOT RECORD")
		return exitCannotRun
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	root, _ := filepath.Abs(os.Args[2])
	l := &lab{
		root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), out: bufio.NewWriter(file),
		network: 20 + os.Getpid()%200,
	}
	defer l.out.Flush()
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	watchdog := time.AfterFunc(115*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		l.stopAll()
		os.Exit(exitCannotRun)
	})
	defer watchdog.Stop()
	l.record("case %s, trouble %v", os.Args[1], l.trouble)
	broken, err := cases[os.Args[1]](l)
	l.stopAll()
	switch {
	case err != nil:
		l.record("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	case broken:
		l.record("result: the rule was broken")
		return exitBroken
	}
	l.record("result: the rule held")
	return exitHeld
}

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseLimit is below the longest time that a case may take.
const caseLimit = 110 * time.Second

var cases = map[string]func(*lab) int{
	"stop": stopCase, "restore": restoreCase, "watch-cut": watchCutCase,
}

func main() {
	name := flag.String("case", "", "name of the case")
	bin := flag.String("bin", "target/burdockpitch", "program under test")
	recordPath := flag.String("record", "record.txt", "file that gets the record")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(exitNotRun)
	}
	record, err := os.Create(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	l := &lab{bin: *bin, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			l.fatal("stopped by a signal")
		case <-time.After(caseLimit):
			l.fatal("not finished within %v", caseLimit)
		}
	}()
	code := run(l)
	l.stopAll()
	l.event("exit code %d", code)
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

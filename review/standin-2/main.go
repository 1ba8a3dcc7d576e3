// Command standin-2 plays the scripted cases of the second review: stand-ins of the store, the
// engines and the clients, and the project's own programs as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	cases := map[string]func(*lab) (broken bool, err error){"crowd": playCrowd, "strand": playStrand}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE REPOSITORY RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]]))
}

// play plays a case and returns the exit code.
func play(playCase func(*lab) (bool, error)) int {
	l, err := newLab(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	go l.closeEarly()
	broken, err := playCase(l)
	switch {
	case err != nil:
		l.sayf("could not run: %v", err)
		return exitNotRun
	case broken:
		l.sayf("broken")
		return exitBroken
	}
	l.sayf("held")
	return exitHeld
}

// longestCase is the time after which a case that has not ended is given up.
const longestCase = 110 * time.Second

// closeEarly ends the case and its processes on a signal, or if it lasts too long.
func (l *lab) closeEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(longestCase):
	}
	l.close()
	os.Exit(exitNotRun)
}

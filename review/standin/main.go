// Command standin plays the cases of the review that can't be put as a day: it starts the
// programs of kingcuprun as separate processes, with stand-ins of the platform's store, the
// engines, the operator and the clients, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY FOLDER")
		os.Exit(notRun)
	}
	cases := map[string]func(*scene) (broken bool, err error){"history": playHistory, "lent": playLent, "upload": playUpload, "kills": playKills}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		os.Exit(notRun)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

// scene is what a case needs.
type scene struct {
	root, dir string
	rec       *recorder
	trouble   bool // false to leave the disruption out
	system    *system
}

// maxRunTime is the longest time of a run, unless EARLIER makes a case longer.
const maxRunTime = 115 * time.Second

// endEarly ends all processes and the run when it takes too long or is told to end.
func (s *scene) endEarly() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	longest := maxRunTime
	if os.Getenv("EARLIER") != "" {
		longest = 0
	}
	select {
	case <-stop:
	case <-after(longest):
	}
	s.rec.say("the case could not run: it was ended")
	if s.system != nil {
		s.system.stop()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	}
	os.Exit(notRun)
}

// after returns a channel that receives a value after a time, never if it is 0.
func after(d time.Duration) <-chan time.Time {
	if d == 0 {
		return nil
	}
	return time.After(d)
}

func run(play func(*scene) (bool, error), root, folder string) int {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	root, err = filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	s := &scene{root: root, dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	go s.endEarly()
	broken, err := play(s)
	if s.system != nil {
		s.system.stop()
	}
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return notRun
	case broken:
		rec.say("the rule was broken")
		return ruleBroken
	default:
		rec.say("the rule held")
		return ruleHeld
	}
}

// Command review-standin plays one case of the review: it starts the daemons as processes, and is the platform's store, the
// replicas and the consumers that they meet.
//
//	review-standin CASE ROOT RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// shown is the number of breaks that are printed; the record has all.
const shown = 5

// play is a case. It returns what broke the rule, empty if nothing did.
type play func(c *stage) (broken []string, err error)

// stage is what a case is played with.
type stage struct {
	root    string // of the repository
	dir     string // temporary
	log     *record
	trouble bool
}

func main() {
	plays := map[string]play{"wall": playWall, "restore": playRestore, "software": playSoftware, "revoke": playRevoke}
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin wall|software|revoke|restore ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(run(plays[os.Args[1]]))
}

func run(p play) int {
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		return cannot(err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return cannot(err)
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	log, err := newRecord(os.Args[3])
	if err != nil {
		return cannot(err)
	}
	c := &stage{root: root, dir: dir, log: log, trouble: os.Getenv("TROUBLE") != "0"}
	log.add("disruption: %t", c.trouble)
	broken, err := p(c)
	if err != nil {
		log.add("the case couldn't run: %v", err)
		return cannot(err)
	}
	for i, b := range broken {
		log.add("BROKEN: %s", b)
		if i < shown {
			fmt.Println("BROKEN:", b)
		}
	}
	if len(broken) > 0 {
		fmt.Printf("broken %d times\n", len(broken))
		return 1
	}
	log.add("the rule held")
	fmt.Println("the rule held")
	return 0
}

func cannot(err error) int {
	fmt.Fprintln(os.Stderr, "couldn't run:", err)
	return 2
}

// Command harness runs the cases of the review that are scripts. It starts the gateway as
// separate processes on loopback addresses, and plays the platform's store, the replicas
// and the requesters itself.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scenarios by name. Each returns whether the rule held.
var cases = map[string]func(record *record, trouble bool) (held bool, err error){
	"foreign-entries": foreignEntries,
	"leavers":         leavers,
	"odd-entry":       oddEntry,
	"silent-watches":  silentWatches,
	"stale-config":    staleConfig,
}

func main() {
	runtime.LockOSThread() // the machines end with the thread that started them
	os.Exit(run())
}

func run() int {
	dir := flag.String("dir", ".", "folder for record.txt")
	trouble := flag.Bool("trouble", true, "inject the disruption")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", flag.Arg(0))
		return exitNotRun
	}
	record, err := newRecord(*dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.file.Close()
	record.printf("case %s, disruption %v", flag.Arg(0), *trouble)
	held, err := play(record, *trouble)
	switch {
	case err != nil:
		record.verdict("the case could not run: %v", err)
		return exitNotRun
	case !held:
		return exitBroken
	}
	return exitHeld
}

// startStore serves the store on a free port, with config/main in it.
func startStore() (*store, string, error) {
	store := newStore()
	store.set("config", "main", configuration(1))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	go func() { _ = http.Serve(listener, store) }() // until the end of the process
	return store, listener.Addr().String(), nil
}

// stopOnSignal ends the processes of the fleet when this process is told to stop.
func stopOnSignal(fleet *fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		fleet.stop()
		fleet.remove()
		os.Exit(exitNotRun)
	}()
}

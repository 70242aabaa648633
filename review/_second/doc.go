// Command second runs the script cases of the second review: gateways as separate
// processes with the command of the deploy file, and stand-ins for the store, the replicas
// and the requesters. Each case writes what was sent, answered and run to record.txt.
package main

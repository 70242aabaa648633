package dragonflyhatch

import "time"

// PromptPart identifies a part of prompts that are sent to a service.
type PromptPart struct {
	Service string `json:"service"`
	ID      string `json:"id"`
}

// SuspectPart is the evidence that a part of prompts terminates replicas, as daemons
// exchange it.
type SuspectPart struct {
	Part         PromptPart
	Terminations []PartTermination // the latest ones, oldest first
	SoundAge     time.Duration     // since a replica last answered a prompt with the part, or negative if that is not known
	TrialAge     time.Duration     // since a request with the part was last sent as a trial, or negative if none was
}

// PartTermination is the termination of a replica at which a request with the part had
// no answer yet.
type PartTermination struct {
	Process      uint64 // digest of the replica's process
	Organisation string // of the request
	Age          time.Duration
}

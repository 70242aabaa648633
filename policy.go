package dragonflyhatch

// ChoicePolicy selects how a replica is chosen. Policies other than ChooseByCost
// exist as baselines for measurements.
type ChoicePolicy int

// The values of ChoicePolicy.
const (
	ChooseByCost        ChoicePolicy = iota // cost
	ChooseRoundRobin                        // inTurn
	ChooseLeastInFlight                     // leastInFlight
)

// UnmarshalText parses the name of a policy and fails on any other text.
func (policy *ChoicePolicy) UnmarshalText(text []byte) error {
	for known := ChooseByCost; known <= ChooseLeastInFlight; known++ {
		if known.String() == string(text) {
			*policy = known
			return nil
		}
	}
	return Failf(KindBadRequest, "unknown policy %q", text)
}

// MarshalText returns the name of the policy and never fails.
func (policy ChoicePolicy) MarshalText() ([]byte, error) {
	return []byte(policy.String()), nil
}

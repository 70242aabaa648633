package dragonflyhatch

// ChoicePolicy is a way to choose among replicas. All but ChooseByCost are
// there to measure against.
type ChoicePolicy int

// The values of ChoicePolicy.
const (
	ChooseByCost        ChoicePolicy = iota // cost
	ChooseInTurn                            // inTurn
	ChooseLeastInFlight                     // leastInFlight
)

// UnmarshalText reads the name of a policy, or fails on another word.
func (policy *ChoicePolicy) UnmarshalText(text []byte) error {
	for known := ChooseByCost; known <= ChooseLeastInFlight; known++ {
		if known.String() == string(text) {
			*policy = known
			return nil
		}
	}
	return Fail(KindBadRequest, "unknown policy %q", text)
}

// MarshalText writes the name of the policy and never fails.
func (policy ChoicePolicy) MarshalText() ([]byte, error) {
	return []byte(policy.String()), nil
}

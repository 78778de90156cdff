package contract

import (
	"math"

	"archknot/balancer"
)

// Token is one token at price 1.
const Token Units = 1000

// Price is the price of a token of a request class, as a multiple of Token.
type Price struct {
	PromptToken float64 `json:"Read"` // per token of the prompt
	OutputToken float64 `json:"Made"` // per token of the answer
}

func (p Price) cost(u Usage) Units {
	tokens := p.PromptToken*float64(u.PromptTokens) + p.OutputToken*float64(u.OutputTokens)
	return Units(math.Round(float64(Token) * tokens))
}

// Terms are the contract of one team.
type Terms struct {
	Team            string             `json:"Team"`
	Tenants         []string           `json:"Tenants"` // covered by the contract
	Classes         []string           `json:"Classes"` // covered by the contract; empty: all
	Rate            float64            `json:"Rate"`    // units per second
	Burst           Units              `json:"Burst"`   // units that may accumulate while the rate is not used
	PriorityWeight  float64            `json:"Worth"`   // factor on the priority of a class; 0 means 1
	OverQuotaWeight float64            `json:"Over"`    // the same factor for requests beyond the rate or a soft limit
	Hard            bool               `json:"Hard"`    // reject requests beyond the rate
	Prices          map[string]Price   `json:"Prices"`  // by class; a class without an entry has price 1 for all tokens
	Floors          map[string]float64 `json:"Floors"`  // guaranteed rate by class, in units per second, not available to the team's other classes
	Budgets         []Budget           `json:"Budgets"`
	From            balancer.Micros    `json:"From"`  // Unix time from which the contract is in force; 0: no beginning
	Until           balancer.Micros    `json:"Until"` // Unix time until which the contract is in force; 0: no end
	// Successor is the team whose contract replaces this one at Until. It takes over the
	// level and the usage of the current periods.
	Successor string `json:"Successor"`
	// SurgeFactor, if above 0, is the multiple of the rate above which the team's recent demand
	// counts as a surge. During a surge all its requests compete with OverQuotaWeight,
	// except within floors, and not only the requests beyond the rate.
	SurgeFactor   float64 `json:"Surge"`
	NoBorrow      bool    `json:"NoBorrow"` // the team may not borrow from the pool
	MaxBorrowRate float64 `json:"Borrow"`   // units per second that the team may borrow; 0: no bound
}

// priceOf returns the price of a class.
func (t *Terms) priceOf(class string) Price {
	if p, ok := t.Prices[class]; ok {
		return p
	}
	return Price{PromptToken: 1, OutputToken: 1}
}

// Budget limits the usage in each calendar period of a kind.
type Budget struct {
	Period Period `json:"Period"`
	Soft   Units  `json:"Soft"` // limit beyond which requests compete with OverQuotaWeight; 0: none
	Hard   Units  `json:"Hard"` // limit beyond which requests are rejected; 0: none
}

// limit returns the hard limit, or the soft limit if there is no hard one, or 0.
func (b *Budget) limit() Units {
	if b.Hard == 0 {
		return b.Soft
	}
	return b.Hard
}

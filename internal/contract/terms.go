package contract

import (
	"math"

	"archknot/balancer"
)

// Token is one token at price 1.
const Token Units = 1000

// Price is what the tokens of a class cost, in units of Token.
type Price struct {
	PromptToken float64 `json:"Read"` // a token of the prompt
	OutputToken float64 `json:"Made"` // a token of the answer
}

// cost returns the cost of a usage.
func (p Price) cost(u Usage) Units {
	tokens := p.PromptToken*float64(u.PromptTokens) + p.OutputToken*float64(u.OutputTokens)
	return Units(math.Round(float64(Token) * tokens))
}

// Terms are the contract of one team.
type Terms struct {
	Team            string             `json:"Team"`
	Tenants         []string           `json:"Tenants"` // that it covers
	Classes         []string           `json:"Classes"` // that it covers; none: all
	Rate            float64            `json:"Rate"`    // units a second
	Burst           Units              `json:"Burst"`   // that may be saved up
	PriorityWeight  float64            `json:"Worth"`   // a factor on the priority of a class; 0: 1
	OverQuotaWeight float64            `json:"Over"`    // the factor beyond the rate
	Hard            bool               `json:"Hard"`    // beyond the rate requests are rejected
	Prices          map[string]Price   `json:"Prices"`  // by class; a class without one has price 1 for all tokens
	Floors          map[string]float64 `json:"Floors"`  // units a second by class, which no other class of the team can use
	Budgets         []Budget           `json:"Budgets"`
	From            balancer.Micros    `json:"From"`  // Unix time from which it is in force; 0: always has been
	Until           balancer.Micros    `json:"Until"` // Unix time until which it is in force; 0: no end
	// Successor is the team whose contract replaces this one at Until. It continues
	// with the level, and with the usage of the current periods.
	Successor string `json:"Successor"`
	// Surge, if above 0: a team whose recent demand is more than so many times its
	// rate competes with OverQuotaWeight for all its requests, floors apart, and not
	// only for those beyond the rate.
	Surge    float64 `json:"Surge"`
	NoBorrow bool    `json:"NoBorrow"` // it does not borrow what others leave idle
	Borrow   float64 `json:"Borrow"`   // the units a second that it may borrow; 0: no bound
}

// priceOf returns the price of a class.
func (t *Terms) priceOf(class string) Price {
	if p, ok := t.Prices[class]; ok {
		return p
	}
	return Price{PromptToken: 1, OutputToken: 1}
}

// Budget is what may be used in a period.
type Budget struct {
	Period Period `json:"Period"`
	Soft   Units  `json:"Soft"` // beyond it requests compete as beyond the rate; 0: none
	Hard   Units  `json:"Hard"` // beyond it they are rejected; 0: none
}

// limit returns the hard limit, or else the soft one; 0: there is none.
func (b *Budget) limit() Units {
	if b.Hard == 0 {
		return b.Soft
	}
	return b.Hard
}

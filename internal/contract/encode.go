package contract

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"archknot/balancer"
	pb "archknot/internal/contract/contractpb"
)

// ToProto returns a contract as captures and the streamed configuration have it.
func (t *Terms) ToProto() *pb.Terms {
	out := &pb.Terms{
		Team:      t.Team,
		Tenants:   t.Tenants,
		Classes:   t.Classes,
		Rate:      t.Rate,
		Burst:     t.Burst,
		Worth:     t.PriorityWeight,
		Over:      t.OverQuotaWeight,
		Hard:      t.Hard,
		FromUs:    t.From,
		UntilUs:   t.Until,
		Successor: t.Successor,
		NoBorrow:  t.NoBorrow,
		Borrow:    t.Borrow,
		Surge:     t.Surge,
	}
	for _, class := range slices.Sorted(maps.Keys(t.Prices)) {
		price := t.Prices[class]
		out.Prices = append(out.Prices, &pb.Terms_Price{Class: class, Read: price.PromptToken, Made: price.OutputToken})
	}
	for _, class := range slices.Sorted(maps.Keys(t.Floors)) {
		out.Floors = append(out.Floors, &pb.Terms_Floor{Class: class, Rate: t.Floors[class]})
	}
	for _, budget := range t.Budgets {
		out.Budgets = append(out.Budgets, &pb.Terms_Budget{Period: uint32(budget.Period), Soft: budget.Soft, Hard: budget.Hard})
	}
	return out
}

// TermsFromProto returns the contract of a message. It is not validated: see
// ValidateTerms.
func TermsFromProto(m *pb.Terms) Terms {
	t := Terms{
		Team:            m.GetTeam(),
		Tenants:         m.GetTenants(),
		Classes:         m.GetClasses(),
		Rate:            m.GetRate(),
		Burst:           m.GetBurst(),
		PriorityWeight:  m.GetWorth(),
		OverQuotaWeight: m.GetOver(),
		Hard:            m.GetHard(),
		From:            m.GetFromUs(),
		Until:           m.GetUntilUs(),
		Successor:       m.GetSuccessor(),
		NoBorrow:        m.GetNoBorrow(),
		Borrow:          m.GetBorrow(),
		Surge:           m.GetSurge(),
	}
	if prices := m.GetPrices(); len(prices) > 0 {
		t.Prices = make(map[string]Price, len(prices))
		for _, p := range prices {
			t.Prices[p.GetClass()] = Price{PromptToken: p.GetRead(), OutputToken: p.GetMade()}
		}
	}
	if floors := m.GetFloors(); len(floors) > 0 {
		t.Floors = make(map[string]float64, len(floors))
		for _, f := range floors {
			t.Floors[f.GetClass()] = f.GetRate()
		}
	}
	for _, budget := range m.GetBudgets() {
		kind := Period(min(budget.GetPeriod(), periodCount))
		t.Budgets = append(t.Budgets, Budget{Period: kind, Soft: budget.GetSoft(), Hard: budget.GetHard()})
	}
	return t
}

// Agreement is what was put in force at one time, as a capture records it.
type Agreement struct {
	Settings  Settings
	Terms     []Terms
	Unix      balancer.Micros // Unix time of the caller's clock at that moment
	NewLedger bool            // a new ledger began with it, and with Balances
	Balances  []Balance
}

// MarshalAgreement encodes what was put in force, for a capture. created says that
// a new ledger began with it, and with the balances.
func MarshalAgreement(s Settings, terms []Terms, unix balancer.Micros, created bool, balances []Balance) []byte {
	m := &pb.Agreed{
		Zone:    s.withDefaults().Location.String(),
		PoolS:   s.BorrowPoolSeconds,
		Unknown: s.UnknownTenantWeight,
		Reserve: s.ReserveFraction,
		Strict:  s.Strict,
		UnixUs:  unix,
		Fresh:   created,
	}
	for i := range terms {
		m.Terms = append(m.Terms, terms[i].ToProto())
	}
	for i := range balances {
		m.Resumed = append(m.Resumed, balances[i].ToProto())
	}
	return mustMarshal(m)
}

// UnmarshalAgreement decodes what MarshalAgreement encoded.
func UnmarshalAgreement(text []byte) (*Agreement, error) {
	var m pb.Agreed
	if err := proto.Unmarshal(text, &m); err != nil {
		return nil, fmt.Errorf("contracts: %w", err)
	}
	location, err := time.LoadLocation(m.GetZone())
	if err != nil {
		return nil, fmt.Errorf("contracts: %w", err)
	}
	a := &Agreement{
		Settings: Settings{
			Location:            location,
			BorrowPoolSeconds:   m.GetPoolS(),
			UnknownTenantWeight: m.GetUnknown(),
			ReserveFraction:     m.GetReserve(),
			Strict:              m.GetStrict(),
		},
		Unix:      m.GetUnixUs(),
		NewLedger: m.GetFresh(),
	}
	for _, t := range m.GetTerms() {
		a.Terms = append(a.Terms, TermsFromProto(t))
	}
	for _, balance := range m.GetResumed() {
		a.Balances = append(a.Balances, BalanceFromProto(balance))
	}
	return a, nil
}

// mustMarshal encodes a message, the same message always to the same bytes.
func mustMarshal(m proto.Message) []byte {
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // ValidateTerms checked that names are UTF-8; nothing else can fail
	}
	return text
}

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

// ToProto encodes a contract for captures and the streamed configuration. Prices and
// floors are sorted by class.
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
		Borrow:    t.MaxBorrowRate,
		Surge:     t.SurgeFactor,
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

// TermsFromProto decodes a contract. It does not validate the contract: see ValidateTerms.
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
		MaxBorrowRate:   m.GetBorrow(),
		SurgeFactor:     m.GetSurge(),
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

// AppliedContracts is the settings and contracts that were put in force at one time, as recorded
// in a capture.
type AppliedContracts struct {
	Settings  Settings
	Terms     []Terms
	Unix      balancer.Micros // Unix time at which they were put in force
	NewLedger bool            // a new ledger was created with them and with Balances
	Balances  []Balance
}

// MarshalAppliedContracts encodes an Agreement for a capture. newLedger is its NewLedger field.
func MarshalAppliedContracts(s Settings, terms []Terms, unix balancer.Micros, newLedger bool, balances []Balance) []byte {
	m := &pb.Agreed{
		Zone:    s.withDefaults().Location.String(),
		PoolS:   s.BorrowPoolSeconds,
		Unknown: s.UnknownTenantWeight,
		Reserve: s.ReserveFraction,
		Strict:  s.Strict,
		UnixUs:  unix,
		Fresh:   newLedger,
	}
	for i := range terms {
		m.Terms = append(m.Terms, terms[i].ToProto())
	}
	for i := range balances {
		m.Resumed = append(m.Resumed, balances[i].ToProto())
	}
	return mustMarshal(m)
}

// UnmarshalAppliedContracts decodes the output of MarshalAppliedContracts. It fails if the time zone is
// unknown on this machine.
func UnmarshalAppliedContracts(text []byte) (*AppliedContracts, error) {
	var m pb.Agreed
	if err := proto.Unmarshal(text, &m); err != nil {
		return nil, fmt.Errorf("decode recorded contracts: %w", err)
	}
	location, err := time.LoadLocation(m.GetZone())
	if err != nil {
		return nil, fmt.Errorf("load time zone of recorded contracts: %w", err)
	}
	a := &AppliedContracts{
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

// mustMarshal encodes a message; equal messages give equal bytes.
func mustMarshal(m proto.Message) []byte {
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // encoding fails only on strings that are not UTF-8, and ValidateTerms has checked the names
	}
	return text
}

package balancer

// setPolicies creates the policies of new requests from the settings.
func (b *Balancer) setPolicies() {
	b.classIndex, b.tenantIndex, b.policies = map[string]int{}, map[string]int{}, nil
	for i, class := range b.settings.Classes {
		b.classIndex[class.Name] = i
		b.addPolicy(class)
	}
	// Requests of unknown classes are treated as not idempotent.
	b.addPolicy(Class{Idempotency: NonIdempotent, LatencyObjective: b.settings.Classes[0].LatencyObjective})
	for i, tenant := range b.settings.Tenants {
		b.tenantIndex[tenant.Name] = i
	}
}

func (b *Balancer) addPolicy(class Class) {
	b.policies = append(b.policies, &requestPolicy{
		Class:       class,
		maxAttempts: b.settings.MaxAttempts,
		mayHedge:    b.settings.MayHedge,
	})
}

// Reconfigure applies new settings. Classes and tenants are matched by name, and keep their
// statistics. A request in flight keeps the policy under which it was accepted until its end,
// even if its class was removed; it is counted under the class of the same name. An error is
// returned for invalid settings and for changes of fixed ones, and leaves everything unchanged.
func (b *Balancer) Reconfigure(now Micros, settings Settings) error {
	if err := settings.validate(); err != nil {
		return err
	}
	if err := b.settings.checkUnchanged(&settings); err != nil {
		return err
	}
	oldClasses, oldTenants := b.classIndex, b.tenantIndex
	oldClassCount, oldTenantCount := len(b.stats)-1, len(b.tenantRate)
	b.settings = settings
	b.setPolicies()
	b.carryStats(oldClasses)
	b.carryTenants(oldTenants)
	newClass := newIndices(oldClasses, b.classIndex, oldClassCount, len(b.policies)-1)
	newTenant := newIndices(oldTenants, b.tenantIndex, oldTenantCount, -1)
	b.reindexRequests(newClass, newTenant)
	b.refreshEstimates(now)
	return nil
}

// carryStats keeps the statistics of the classes that remain.
func (b *Balancer) carryStats(oldClasses map[string]int) {
	old := b.stats
	b.stats = make([]classStats, len(b.policies))
	b.stats[len(b.stats)-1] = old[len(old)-1]
	for name, i := range b.classIndex {
		if oldIndex, ok := oldClasses[name]; ok {
			b.stats[i] = old[oldIndex]
		}
	}
}

// carryTenants keeps the rates of the tenants that remain.
func (b *Balancer) carryTenants(oldTenants map[string]int) {
	oldRate, oldArrivals := b.tenantRate, b.tenantArrivals
	b.tenantRate = make([]float64, len(b.settings.Tenants))
	b.tenantArrivals = make([]float64, len(b.settings.Tenants))
	for name, i := range b.tenantIndex {
		if oldIndex, ok := oldTenants[name]; ok {
			b.tenantRate[i], b.tenantArrivals[i] = oldRate[oldIndex], oldArrivals[oldIndex]
		}
	}
}

// newIndices returns, for each of the count indices in old, the index of the same name in
// index, or fallback if there is none.
func newIndices(old, index map[string]int, count, fallback int) []int {
	indices := make([]int, count)
	for name, i := range old {
		indices[i] = indexOr(index, name, fallback)
	}
	return indices
}

// reindexRequests updates the class and tenant indices of the requests in flight. New indices
// are found by the old ones, without a look-up by name for each request, except for classes
// and tenants that were unknown before.
func (b *Balancer) reindexRequests(newClass, newTenant []int) {
	for _, req := range b.requests {
		if req.classIndex < len(newClass) {
			req.classIndex = newClass[req.classIndex]
		} else {
			req.classIndex = indexOr(b.classIndex, req.Class, len(b.policies)-1)
		}
		if req.tenantIndex >= 0 {
			req.tenantIndex = newTenant[req.tenantIndex]
		} else {
			req.tenantIndex = indexOr(b.tenantIndex, req.Tenant, -1)
		}
	}
}

// indexOr returns the index of a name, or fallback if it has none.
func indexOr(index map[string]int, name string, fallback int) int {
	if i, ok := index[name]; ok {
		return i
	}
	return fallback
}

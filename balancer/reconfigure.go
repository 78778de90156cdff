package balancer

// setPolicies makes the policies of new requests from the settings.
func (b *Balancer) setPolicies() {
	b.classIndex, b.tenantIndex, b.policies = map[string]int{}, map[string]int{}, nil
	for i, class := range b.settings.Classes {
		b.classIndex[class.Name] = i
		b.addPolicy(class)
	}
	// An unknown class is treated as the most fragile one.
	b.addPolicy(Class{Idempotency: NonIdempotent, LatencyObjective: b.settings.Classes[0].LatencyObjective})
	for i, tenant := range b.settings.Tenants {
		b.tenantIndex[tenant.Name] = i
	}
}

// addPolicy adds the policy of a class.
func (b *Balancer) addPolicy(class Class) {
	b.policies = append(b.policies, &requestPolicy{
		Class:       class,
		maxAttempts: b.settings.MaxAttempts,
		mayHedge:    b.settings.MayHedge,
	})
}

// Reconfigure puts other settings in force. Classes and tenants are matched by name, and
// what was learned of them stays. A request in flight keeps the policy it was accepted
// under (its class, its attempts) to its end, also if its class is gone; it counts for the
// class of the same name. An error changes nothing.
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

// carryStats keeps what was learned of the classes that remain.
func (b *Balancer) carryStats(oldClasses map[string]int) {
	old := b.stats
	b.stats = make([]classStats, len(b.policies))
	b.stats[len(b.stats)-1] = old[len(old)-1]
	for name, i := range b.classIndex {
		if was, ok := oldClasses[name]; ok {
			b.stats[i] = old[was]
		}
	}
}

// carryTenants keeps the rates of the tenants that remain.
func (b *Balancer) carryTenants(oldTenants map[string]int) {
	oldRate, oldArrivals := b.tenantRate, b.tenantArrivals
	b.tenantRate = make([]float64, len(b.settings.Tenants))
	b.tenantArrivals = make([]float64, len(b.settings.Tenants))
	for name, i := range b.tenantIndex {
		if was, ok := oldTenants[name]; ok {
			b.tenantRate[i], b.tenantArrivals[i] = oldRate[was], oldArrivals[was]
		}
	}
}

// newIndices maps the count indices of old to those of the same names in index, or to
// otherwise.
func newIndices(old, index map[string]int, count, otherwise int) []int {
	indices := make([]int, count)
	for name, i := range old {
		indices[i] = indexOr(index, name, otherwise)
	}
	return indices
}

// reindexRequests follows the classes and tenants in the requests in flight. The new
// indices are found by the old ones, so that no name is looked up for each request; a
// class or tenant that was unknown may be known now.
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

// indexOr is the index of a name, or otherwise if it has none.
func indexOr(index map[string]int, name string, otherwise int) int {
	if i, ok := index[name]; ok {
		return i
	}
	return otherwise
}

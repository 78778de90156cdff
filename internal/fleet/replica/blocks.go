package replica

// block is a block of key-value memory.
type block struct {
	key        uint64 // names its content for reuse; 0: private to one sequence
	refs       int    // sequences that use it
	prev, next *block // in the list of cached blocks while refs is 0
}

// blockMemory hands out the blocks of a replica's key-value memory. A block with a key that no sequence
// uses any more stays cached for reuse until its memory is needed.
type blockMemory struct {
	byKey  map[uint64]*block
	cached block // ring of the cached blocks, the least recently used first
	// Numbers of blocks: usedCount counts those in use or cached, cachedCount those that are only cached.
	usedCount, cachedCount, totalCount int
}

func newBlockMemory(totalCount int) *blockMemory {
	m := &blockMemory{byKey: map[uint64]*block{}, totalCount: totalCount}
	m.cached.prev, m.cached.next = &m.cached, &m.cached
	return m
}

// inUseFraction returns the share of memory that sequences use.
func (m *blockMemory) inUseFraction() float64 {
	return float64(m.usedCount-m.cachedCount) / float64(m.totalCount)
}

// available returns the number of blocks that are free or can be evicted.
func (m *blockMemory) available() int { return m.totalCount - m.usedCount + m.cachedCount }

// allocate returns a new block with the key: a free one, or the least recently used cached one. It returns
// nil if all blocks are in use.
func (m *blockMemory) allocate(key uint64) *block {
	if m.usedCount == m.totalCount && !m.evict() {
		return nil
	}
	m.usedCount++
	b := &block{key: key, refs: 1}
	if key != 0 && m.byKey[key] == nil {
		m.byKey[key] = b
	} else {
		b.key = 0 // another block has this content already
	}
	return b
}

// evict frees the least recently used cached block, if there is any.
func (m *blockMemory) evict() bool {
	oldest := m.cached.next
	if oldest == &m.cached {
		return false
	}
	m.unlink(oldest)
	delete(m.byKey, oldest.key)
	m.usedCount--
	return true
}

// reuse takes one more reference to the block with the key, nil if there is none.
func (m *blockMemory) reuse(key uint64) *block {
	if key == 0 {
		return nil
	}
	b := m.byKey[key]
	if b == nil {
		return nil
	}
	if b.refs == 0 {
		m.unlink(b)
	}
	b.refs++
	return b
}

// release drops a reference to a block. Blocks with a key are cached once nobody uses them.
func (m *blockMemory) release(b *block) {
	if b.refs--; b.refs > 0 {
		return
	}
	if b.key == 0 {
		m.usedCount--
		return
	}
	b.prev, b.next = m.cached.prev, &m.cached
	b.prev.next, b.next.prev = b, b
	m.cachedCount++
}

// flush frees all cached blocks.
func (m *blockMemory) flush() {
	for m.evict() {
	}
}

// unlink takes a block out of the ring of cached blocks.
func (m *blockMemory) unlink(b *block) {
	b.prev.next, b.next.prev = b.next, b.prev
	b.prev, b.next = nil, nil
	m.cachedCount--
}

// blockKey returns the key for a part of a context: equal contents have equal keys.
func blockKey(content, index uint64) uint64 {
	if content == 0 {
		return 0
	}
	return mix(content, index)
}

// mix is the finalizer of SplitMix64 (Steele et al., OOPSLA 2014) over both words. It is never 0.
func mix(a, b uint64) uint64 {
	z := a + b*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	if z ^= z >> 31; z == 0 {
		return 1
	}
	return z
}

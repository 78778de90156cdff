package replica

// block is a block of the key-value (KV) cache.
type block struct {
	key        uint64 // identifies the content for reuse; 0: not reusable, private to one sequence
	refs       int    // number of sequences that use the block
	prev, next *block // links in the ring of cached blocks, while refs is 0
}

// blockMemory allocates the blocks of a replica's KV cache. A block with a key stays cached after its last
// sequence releases it, until it is reused or evicted to free memory.
type blockMemory struct {
	byKey  map[uint64]*block
	cached block // head of the ring of cached blocks, least recently used first
	// Numbers of blocks: in use or cached, cached without being in use, and in total.
	usedCount, cachedCount, totalCount int
}

func newBlockMemory(totalCount int) *blockMemory {
	m := &blockMemory{byKey: map[uint64]*block{}, totalCount: totalCount}
	m.cached.prev, m.cached.next = &m.cached, &m.cached
	return m
}

// inUseFraction returns the fraction of the blocks that sequences use.
func (m *blockMemory) inUseFraction() float64 {
	return float64(m.usedCount-m.cachedCount) / float64(m.totalCount)
}

// available returns the number of blocks that are free or can be evicted.
func (m *blockMemory) available() int { return m.totalCount - m.usedCount + m.cachedCount }

// allocate returns a new block with the key, and evicts the least recently used cached block if none is free.
// It returns nil if all blocks are in use.
func (m *blockMemory) allocate(key uint64) *block {
	if m.usedCount == m.totalCount && !m.evict() {
		return nil
	}
	m.usedCount++
	b := &block{key: key, refs: 1}
	if key != 0 && m.byKey[key] == nil {
		m.byKey[key] = b
	} else {
		b.key = 0 // not reusable, or another block already has this content
	}
	return b
}

// evict frees the least recently used cached block. It returns false if no block is cached.
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

// reuse adds a reference to the block with the key and returns it, or nil if there is no such block.
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

// release drops a reference to a block. After the last one, a block with a key is cached, and others are freed.
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

// unlink removes a block from the ring of cached blocks.
func (m *blockMemory) unlink(b *block) {
	b.prev.next, b.next.prev = b.next, b.prev
	b.prev, b.next = nil, nil
	m.cachedCount--
}

// blockKey returns the key of the block at an index of a content, or 0 without a content. Equal arguments give
// equal keys.
func blockKey(content, index uint64) uint64 {
	if content == 0 {
		return 0
	}
	return mix(content, index)
}

// mix hashes a and b with the finalizer of SplitMix64 (Steele et al., OOPSLA 2014). The result is never 0.
func mix(a, b uint64) uint64 {
	z := a + b*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	if z ^= z >> 31; z == 0 {
		return 1
	}
	return z
}

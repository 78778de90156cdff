package maintenance

const (
	// maxListedReplicas bounds the recorded ids of listed replicas; the oldest are evicted first.
	maxListedReplicas = 16384
	// maxListedBytes bounds the total length of these ids, so that a state stays below maxStateBytes.
	maxListedBytes = 1 << 20
)

// listedReplicas records the ids of the replicas that discovery has listed to any process of the gateway,
// because orders are accepted only for such replicas. It is not safe for concurrent use.
type listedReplicas struct {
	ids       []string // the oldest first
	known     map[string]struct{}
	byteCount int
	// additions counts the ids that were ever added, and savedAdditions those of them that the file has.
	additions, savedAdditions int
}

// add records an id. An id that no order can name is skipped.
func (l *listedReplicas) add(id string) {
	if _, known := l.known[id]; known || id == "" || len(id) > maxReplicaIDLength {
		return
	}
	if l.known == nil {
		l.known = map[string]struct{}{}
	}
	l.known[id] = struct{}{}
	l.ids = append(l.ids, id)
	l.byteCount += len(id)
	l.additions++
	for len(l.ids) > maxListedReplicas || l.byteCount > maxListedBytes {
		l.evictOldest()
	}
}

func (l *listedReplicas) evictOldest() {
	oldest := l.ids[0]
	delete(l.known, oldest)
	l.byteCount -= len(oldest)
	l.ids[0] = "" // the array may live on after the slice has moved past this element
	l.ids = l.ids[1:]
}

// merge records the ids of another process or of the file.
func (l *listedReplicas) merge(ids []string) {
	for _, id := range ids {
		l.add(id)
	}
}

// recordFileContent records which ids the file has. The file is written again unless it has all of l.
func (l *listedReplicas) recordFileContent(ids []string) {
	inFile := make(map[string]struct{}, len(ids))
	for _, id := range ids {
		inFile[id] = struct{}{}
	}
	l.savedAdditions = l.additions
	for _, id := range l.ids {
		if _, ok := inFile[id]; !ok {
			l.savedAdditions = 0
			return
		}
	}
}

func (l *listedReplicas) saved() bool { return l.savedAdditions == l.additions }

// RecordListed records the ids of replicas that discovery has listed. Run saves them.
func (s *Store) RecordListed(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed.merge(ids)
}

// WasListed reports whether discovery has listed a replica to this process or to an earlier one.
func (s *Store) WasListed(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.listed.known[id]
	return known
}

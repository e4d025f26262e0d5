//! Ready servers in an order that all nodes share, and the subset of them that one node uses.

/// A ready server: key, number, and slot in the table of servers. Entries are ordered by key, then number.
pub type RingEntry = (u64, usize, usize);

/// Two rings: servers in the node's zone and all others. Each node's subset starts at a different position.
pub struct Ring {
    /// Near servers (in the node's zone) and far servers, both sorted.
    parts: [Vec<RingEntry>; 2],
    /// The node's subset: start as a fraction of each ring, size as a share of all servers, minimum size.
    start: f64,
    share: f64,
    min_size: usize,
}

impl Ring {
    /// Creates empty rings. The node uses `share` of all servers, at least `min_size`, from position `start`.
    pub fn new(start: f64, share: f64, min_size: usize) -> Self {
        Self { parts: Default::default(), start, share, min_size }
    }

    /// Replaces all entries; the flag of an entry is true if the server is far.
    pub fn rebuild(&mut self, entries: Vec<(bool, RingEntry)>) {
        self.parts.iter_mut().for_each(Vec::clear);
        entries.into_iter().for_each(|(far, entry)| self.parts[usize::from(far)].push(entry));
        self.parts.iter_mut().for_each(|part| part.sort_unstable());
    }

    /// Moves one server from its former entry to its present one. `None` means not ready, before or now.
    pub fn shift(&mut self, from: Option<(bool, RingEntry)>, to: Option<(bool, RingEntry)>) {
        if from == to {
            return;
        }
        if let Some((far, entry)) = from {
            let part = &mut self.parts[usize::from(far)];
            if let Ok(index) = part.binary_search(&entry) {
                part.remove(index);
            }
        }
        if let Some((far, entry)) = to {
            let part = &mut self.parts[usize::from(far)];
            let (Ok(index) | Err(index)) = part.binary_search(&entry);
            part.insert(index, entry);
        }
    }

    /// Returns the slots of all near and of all far servers, each ring in order from the start of the subset.
    pub fn parts(&self) -> [impl Iterator<Item = usize> + '_; 2] {
        self.parts.each_ref().map(|part| self.rotated(part).map(|(.., slot)| *slot))
    }

    /// Returns the number of ready servers, near and far.
    pub fn len(&self) -> usize {
        self.parts.iter().map(Vec::len).sum()
    }

    /// Returns the fractions of near and far servers considered for a request, at most `max` servers of each.
    pub fn visible_fraction(&self, max: usize) -> [f64; 2] {
        let size = self.subset_size().min(max);
        self.parts.each_ref().map(|part| size.min(part.len()) as f64 / part.len().max(1) as f64)
    }

    /// Returns up to `max` subset slots per ring, near ones first; if there are more, from a random start.
    pub fn subset(&self, max: usize, random: &mut fastrand::Rng) -> Vec<usize> {
        let subset_size = self.subset_size();
        let mut slots = Vec::with_capacity(2 * max.min(subset_size));
        for part in &self.parts {
            let size = subset_size.min(part.len());
            let offset = if size > max { random.usize(..size) } else { 0 };
            let (before_wrap, total) = (max.min(size - offset), max.min(size));
            slots.extend(self.rotated(part).skip(offset).take(before_wrap).map(|(.., slot)| *slot));
            slots.extend(self.rotated(part).take(total - before_wrap).map(|(.., slot)| *slot));
        }
        slots
    }

    /// Returns the number of servers that the subset takes from each ring if the ring has as many.
    fn subset_size(&self) -> usize {
        self.min_size.max((self.len() as f64 * self.share).ceil() as usize)
    }

    /// Iterates over a complete ring from the start of the node's subset.
    fn rotated<'a>(&self, part: &'a [RingEntry]) -> impl Iterator<Item = &'a RingEntry> {
        let (before, after) = part.split_at((self.start * part.len() as f64) as usize);
        after.iter().chain(before)
    }
}

//! The ready servers in an order that all nodes share, and the subset of them that is one node's.

/// A ready server: its key, its number, and its slot in the table of servers. Ordered by key, then number.
pub type RingEntry = (u64, usize, usize);

/// Two rings, of the servers in the node's zone and of all others. Nodes differ in where their subset starts.
pub struct Ring {
    /// Near servers and far ones, both sorted.
    parts: [Vec<RingEntry>; 2],
    /// The node's subset: its start as a fraction of each ring, its fraction of all servers, its least size.
    start: f64,
    share: f64,
    min_size: usize,
}

impl Ring {
    /// Empty rings, of which the node uses `share` of all servers and at least `min_size`, from `start` on.
    pub fn new(start: f64, share: f64, min_size: usize) -> Self {
        Self { parts: Default::default(), start, share, min_size }
    }

    /// Replaces all entries, each given with whether its server is far.
    pub fn rebuild(&mut self, entries: Vec<(bool, RingEntry)>) {
        self.parts.iter_mut().for_each(Vec::clear);
        entries.into_iter().for_each(|(far, entry)| self.parts[usize::from(far)].push(entry));
        self.parts.iter_mut().for_each(|part| part.sort_unstable());
    }

    /// Moves one server from its former position, if it was ready, to its present one, if it is.
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

    /// The slots of the near and of the far servers, each ring once round from the start of the subset.
    pub fn parts(&self) -> [impl Iterator<Item = usize> + '_; 2] {
        self.parts.each_ref().map(|part| self.rotated(part).map(|(.., slot)| *slot))
    }

    /// The number of ready servers.
    pub fn len(&self) -> usize {
        self.parts.iter().map(Vec::len).sum()
    }

    /// The fraction of the near and of the far servers that one request is offered, `max` of each at most.
    pub fn visible_fraction(&self, max: usize) -> [f64; 2] {
        let size = self.subset_size().min(max);
        self.parts.each_ref().map(|part| size.min(part.len()) as f64 / part.len().max(1) as f64)
    }

    /// The slots of the subset, near ones first; of a part with more than `max`, `max` from a random start.
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

    /// Servers of each ring in the subset; fewer if the ring has fewer.
    fn subset_size(&self) -> usize {
        self.min_size.max((self.len() as f64 * self.share).ceil() as usize)
    }

    /// A ring once round, from the start of the node's subset.
    fn rotated<'a>(&self, part: &'a [RingEntry]) -> impl Iterator<Item = &'a RingEntry> {
        let (before, after) = part.split_at((self.start * part.len() as f64) as usize);
        after.iter().chain(before)
    }
}

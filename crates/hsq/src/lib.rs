//! The array of counts of HSQ, shared by every part that chooses a server.
//!
//! There is one count per server. A request goes to the lowest count, ties are broken at random, and the count
//! then rises by one. Completions do not lower it: only a fresh report overwrites the count of its server.

/// The position of a server in the array.
pub type Slot = usize;

/// The array of counts.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    counts: Vec<Option<u64>>,
}

impl Counts {
    /// An array without servers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a server, which starts at the mean of the others until its first report.
    pub fn add(&mut self) -> Slot {
        let start = Some(self.mean());
        if let Some(free) = self.counts.iter().position(Option::is_none) {
            self.counts[free] = start;
            return free;
        }
        self.counts.push(start);
        self.counts.len() - 1
    }

    /// Removes a server; its slot is used again.
    pub fn remove(&mut self, slot: Slot) {
        self.counts[slot] = None;
    }

    /// The count of a server; 0 for a slot without one.
    #[must_use]
    pub fn count(&self, slot: Slot) -> u64 {
        self.counts[slot].unwrap_or(0)
    }

    /// Notes a send.
    pub fn sent(&mut self, slot: Slot) {
        if let Some(count) = &mut self.counts[slot] {
            *count += 1;
        }
    }

    /// Overwrites the count of one server with a fresh report.
    pub fn report(&mut self, slot: Slot, reported: u64) {
        if let Some(count) = &mut self.counts[slot] {
            *count = reported;
        }
    }

    /// The lowest count among these servers, with ties broken at random.
    pub fn lowest(&self, among: impl IntoIterator<Item = Slot>) -> Option<Slot> {
        self.lowest_preferring(among.into_iter().map(|slot| (slot, 0)))
    }

    /// As [`Self::lowest`], but of servers that tie the one with the lowest second number wins.
    pub fn lowest_preferring(&self, among: impl IntoIterator<Item = (Slot, u8)>) -> Option<Slot> {
        let mut best: Option<((u64, u8), Slot)> = None;
        let mut ties = 0;
        for (slot, preference) in among {
            let rank = (self.count(slot), preference);
            match best {
                Some((lowest, _)) if rank > lowest => {}
                Some((lowest, _)) if rank == lowest => {
                    ties += 1;
                    // Each of n tied servers is kept with probability 1/n.
                    if fastrand::u32(..ties) == 0 {
                        best = Some((rank, slot));
                    }
                }
                _ => {
                    best = Some((rank, slot));
                    ties = 1;
                }
            }
        }
        best.map(|(_, slot)| slot)
    }

    fn mean(&self) -> u64 {
        let (sum, servers) =
            self.counts.iter().flatten().fold((0, 0), |(sum, n), count| (sum + count, n + 1));
        if servers == 0 {
            return 0;
        }
        (sum + servers / 2) / servers
    }
}

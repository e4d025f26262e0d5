//! The array of queue lengths of the HSQ strategy, by which a server is selected for each request.
//!
//! HSQ is the strategy of Islam, "Network Load Balancing Methods", section IV.E: shortest queue with stale
//! information, which keeps the history of the requests that were sent since that information was received. One array
//! holds the known queue length of each server; each request goes to the shortest queue, with ties broken at random,
//! and adds one to that length. A completed request doesn't lower it: only a fresh report of a server overwrites the
//! length of that server, and with it the history. Callers whose servers send no reports overwrite the lengths
//! themselves, as the crate `dispatch` does.
//!
//! ```
//! use hsq::QueueLengths;
//!
//! let mut lengths = QueueLengths::new();
//! let (first, second) = (lengths.add(), lengths.add());
//! lengths.overwrite(first, 3);
//! lengths.overwrite(second, 1);
//! assert_eq!(lengths.shortest([first, second]), Some(second));
//! lengths.increment(second);
//! assert_eq!(lengths.get(second), 2);
//! ```

/// The index of a server in the array.
pub type ServerIndex = usize;

/// The known queue length of each server.
#[derive(Clone, Debug, Default)]
pub struct QueueLengths {
    /// In requests; `None` for an index that is free.
    lengths: Vec<Option<u64>>,
}

impl QueueLengths {
    /// Creates an array without servers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a server. Until its first report its queue counts as long as the mean of the others.
    pub fn add(&mut self) -> ServerIndex {
        let initial = Some(self.mean());
        if let Some(free) = self.lengths.iter().position(Option::is_none) {
            self.lengths[free] = initial;
            return free;
        }
        self.lengths.push(initial);
        self.lengths.len() - 1
    }

    /// Removes a server. A server that is added later takes over its index.
    pub fn remove(&mut self, server: ServerIndex) {
        self.lengths[server] = None;
    }

    /// Returns the queue length of a server, or 0 for a free index.
    #[must_use]
    pub fn get(&self, server: ServerIndex) -> u64 {
        self.lengths[server].unwrap_or(0)
    }

    /// Counts a request that was sent to the server.
    pub fn increment(&mut self, server: ServerIndex) {
        if let Some(length) = &mut self.lengths[server] {
            *length += 1;
        }
    }

    /// Replaces the queue length of one server by a fresh report.
    pub fn overwrite(&mut self, server: ServerIndex, reported: u64) {
        if let Some(length) = &mut self.lengths[server] {
            *length = reported;
        }
    }

    /// Returns the candidate with the shortest queue; ties are broken at random.
    pub fn shortest(&self, candidates: impl IntoIterator<Item = ServerIndex>) -> Option<ServerIndex> {
        self.shortest_preferring(candidates.into_iter().map(|server| (server, 0)))
    }

    /// As [`Self::shortest`], but each candidate comes with a preference: among equal queue lengths the lowest
    /// preference wins, and only ties of both are broken at random.
    pub fn shortest_preferring(
        &self,
        candidates: impl IntoIterator<Item = (ServerIndex, u8)>,
    ) -> Option<ServerIndex> {
        let mut best: Option<((u64, u8), ServerIndex)> = None;
        let mut ties = 0;
        for (server, preference) in candidates {
            let rank = (self.get(server), preference);
            match best {
                Some((lowest, _)) if rank > lowest => {}
                Some((lowest, _)) if rank == lowest => {
                    ties += 1;
                    // Reservoir sampling: each of n tied servers is kept with probability 1/n.
                    if fastrand::u32(..ties) == 0 {
                        best = Some((rank, server));
                    }
                }
                _ => {
                    best = Some((rank, server));
                    ties = 1;
                }
            }
        }
        best.map(|(_, server)| server)
    }

    /// The mean over all servers, rounded to the nearest integer.
    fn mean(&self) -> u64 {
        let (sum, servers) =
            self.lengths.iter().flatten().fold((0, 0), |(sum, servers), length| (sum + length, servers + 1));
        if servers == 0 {
            return 0;
        }
        (sum + servers / 2) / servers
    }
}

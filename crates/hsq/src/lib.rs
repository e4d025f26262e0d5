//! Queue lengths of the HSQ load-balancing strategy, which selects the server of each request.
//!
//! HSQ is described by Islam, "Network Load Balancing Methods", section IV.E. It selects the shortest queue
//! from stale queue lengths, to which it adds the requests that were sent since those lengths were reported
//! (the history).
//!
//! [`QueueLengths`] stores the last known queue length of each server. A request is sent to the server with
//! the shortest queue; ties are broken at random. Sending a request adds one to the length, and completing it
//! subtracts nothing: only a fresh report of the server replaces its length and so discards the history.
//! Callers whose servers send no reports overwrite the lengths themselves, as the crate `dispatch` does.
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

/// Index of a server in [`QueueLengths`]; valid until the server is removed.
pub type ServerIndex = usize;

/// Last known queue length of each server, in requests: the last report plus the requests sent since.
#[derive(Clone, Debug, Default)]
pub struct QueueLengths {
    /// Queue length in requests, by server index; `None` if the index is free.
    lengths: Vec<Option<u64>>,
}

impl QueueLengths {
    /// Creates queue lengths without any server.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a server and returns its index. Its queue length starts at the mean of all others, until it is
    /// overwritten.
    pub fn add(&mut self) -> ServerIndex {
        let initial = Some(self.mean());
        if let Some(free) = self.lengths.iter().position(Option::is_none) {
            self.lengths[free] = initial;
            return free;
        }
        self.lengths.push(initial);
        self.lengths.len() - 1
    }

    /// Removes a server and frees its index for a server that is added later.
    pub fn remove(&mut self, server: ServerIndex) {
        self.lengths[server] = None;
    }

    /// Returns the queue length of a server, or 0 for a free index.
    #[must_use]
    pub fn get(&self, server: ServerIndex) -> u64 {
        self.lengths[server].unwrap_or(0)
    }

    /// Adds a request that was sent to the server to its queue length.
    pub fn increment(&mut self, server: ServerIndex) {
        if let Some(length) = &mut self.lengths[server] {
            *length += 1;
        }
    }

    /// Replaces the queue length of one server by a fresh report, in requests.
    pub fn overwrite(&mut self, server: ServerIndex, reported: u64) {
        if let Some(length) = &mut self.lengths[server] {
            *length = reported;
        }
    }

    /// Returns the candidate with the shortest queue, or `None` without candidates. Ties are broken at
    /// random.
    pub fn shortest(&self, candidates: impl IntoIterator<Item = ServerIndex>) -> Option<ServerIndex> {
        self.shortest_preferring(candidates.into_iter().map(|server| (server, 0)))
    }

    /// Returns the candidate with the shortest queue; of equally long queues, the one with the lowest
    /// preference value.
    ///
    /// Each candidate is paired with its preference value. Ties in both are broken at random. Returns `None`
    /// without candidates.
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

    /// Returns the mean queue length of all servers, rounded to the nearest integer; 0 without servers.
    fn mean(&self) -> u64 {
        let (sum, servers) =
            self.lengths.iter().flatten().fold((0, 0), |(sum, servers), length| (sum + length, servers + 1));
        if servers == 0 {
            return 0;
        }
        (sum + servers / 2) / servers
    }
}

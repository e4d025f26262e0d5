//! The ready servers in an order that all nodes share, and the subset of them that is one node's.

/// A ready server: its key, its number, and its slot in the table of servers.
pub type Place = (u64, usize, usize);

/// Two rings, of the servers in the node's own zone and of all others, each in the order of its keys.
///
/// They are kept in that order, so a change moves what it names and no more. The node's turn is in where its
/// subset starts.
pub struct Ring {
    parts: [Vec<Place>; 2],
    /// Where this node's subset starts, as a fraction of each ring.
    start: f64,
    /// Its length as a fraction of all servers, and the servers it has at least, where there are as many.
    share: f64,
    least: usize,
}

impl Ring {
    /// Empty rings, of which the node uses `share` of all servers and at least `least`, from `start` on.
    pub fn new(start: f64, share: f64, least: usize) -> Self {
        Self { parts: Default::default(), start, share, least }
    }

    /// Takes all ready servers anew, each with whether it is far.
    pub fn fill(&mut self, places: impl Iterator<Item = (bool, Place)>) {
        self.parts.iter_mut().for_each(Vec::clear);
        places.for_each(|(far, place)| self.parts[usize::from(far)].push(place));
        self.parts.iter_mut().for_each(|part| part.sort_unstable());
    }

    /// Moves one server from where it was, if it was ready, to where it is now, if it is.
    pub fn shift(&mut self, from: Option<(bool, Place)>, to: Option<(bool, Place)>) {
        if from == to {
            return;
        }
        if let Some((far, place)) = from {
            let part = &mut self.parts[usize::from(far)];
            if let Ok(at) = part.binary_search(&place) {
                part.remove(at);
            }
        }
        if let Some((far, place)) = to {
            let part = &mut self.parts[usize::from(far)];
            let (Ok(at) | Err(at)) = part.binary_search(&place);
            part.insert(at, place);
        }
    }

    /// The slots of the near and of the far part, from the node's own place all the way round.
    pub fn parts(&self) -> [impl Iterator<Item = usize> + '_; 2] {
        self.parts.each_ref().map(|part| self.turned(part).map(|(.., slot)| *slot))
    }

    /// Ready servers in all.
    pub fn len(&self) -> usize {
        self.parts.iter().map(Vec::len).sum()
    }

    /// The part of the near and of the far servers that one request sees, `most` of each at most.
    pub fn seen(&self, most: usize) -> [f64; 2] {
        let length = self.length().min(most);
        self.parts.each_ref().map(|part| length.min(part.len()) as f64 / part.len().max(1) as f64)
    }

    /// The slots of the node's own subset, near ones first; of a part of more than `most` a window of so
    /// many, drawn afresh, that goes on from the end of the subset to its start.
    pub fn subset(&self, most: usize, random: &mut fastrand::Rng) -> Vec<usize> {
        let length = self.length();
        let mut slots = Vec::with_capacity(2 * most.min(length));
        for part in &self.parts {
            let length = length.min(part.len());
            let from = if length > most { random.usize(..length) } else { 0 };
            let (first, all) = (most.min(length - from), most.min(length));
            slots.extend(self.turned(part).skip(from).take(first).map(|(.., slot)| *slot));
            slots.extend(self.turned(part).take(all - first).map(|(.., slot)| *slot));
        }
        slots
    }

    /// Servers of each ring in the subset, where it has so many.
    fn length(&self) -> usize {
        self.least.max((self.len() as f64 * self.share).ceil() as usize)
    }

    fn turned<'a>(&self, part: &'a [Place]) -> impl Iterator<Item = &'a Place> {
        let (before, after) = part.split_at((self.start * part.len() as f64) as usize);
        after.iter().chain(before)
    }
}

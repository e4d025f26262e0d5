//! Changes by the operator and the trainers.

use configuration::{Configuration, ConfigurationError};
use xxhash_rust::xxh3::Xxh3;

use super::successor;
use crate::{AppliedChange, ControlState, Document, DrainState, MAX_APPLIED_CHANGES};

/// The version of a model that was never named.
const FIRST_VERSION: u64 = 1;

/// How a configuration is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// A whole document takes the place of the one before.
    Replace,
    /// Named items are added, replaced and removed.
    Patch,
}

/// Why the committed state declines a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeRejected {
    /// It was taken before.
    AlreadyTaken,
    /// It builds on another version than this current one.
    OtherVersion(u64),
    /// It builds on a version so old that it cannot be told any more whether it was taken.
    TooOld,
    /// The present configuration, which it changes, cannot be read.
    Unreadable,
    /// It is invalid.
    Invalid(ConfigurationError),
    /// There is nothing to change.
    Unchanged,
    /// There is no such machine.
    Unknown,
    /// Too few machines would be left.
    TooFew,
}

/// A digest of an order's content (XXH3, 128 bits).
#[must_use]
pub fn change_digest(kind: ChangeKind, expected: u64, body: &[u8]) -> u128 {
    let mut hasher = Xxh3::new();
    hasher.update(&[u8::from(kind == ChangeKind::Patch)]);
    hasher.update(&expected.to_be_bytes());
    hasher.update(body);
    hasher.digest128()
}

/// Changes the configuration on top of version `expected`.
///
/// # Errors
///
/// [`Declined::AlreadyTaken`] for a change that this state holds already, whatever came after it.
pub fn with_configuration(
    state: &ControlState,
    kind: ChangeKind,
    expected: u64,
    digest: u128,
    body: &[u8],
) -> Result<ControlState, ChangeRejected> {
    if state.applied_changes.iter().any(|taken| taken.digest == digest) {
        return Err(ChangeRejected::AlreadyTaken);
    }
    if expected != state.edition {
        let is_forgotten = state.forgets_changes_on(expected);
        return Err(if is_forgotten {
            ChangeRejected::TooOld
        } else {
            ChangeRejected::OtherVersion(state.edition)
        });
    }
    let document = match kind {
        ChangeKind::Patch => {
            let present = state.configuration.text().map_err(|_| ChangeRejected::Unreadable)?;
            configuration::patch(present, body)
        }
        ChangeKind::Replace => configuration::replace(state.edition, body),
    };
    let document = document.map_err(ChangeRejected::Invalid)?;
    let parsed = Configuration::parse(document.as_bytes()).map_err(ChangeRejected::Invalid)?;
    let mut next = successor(state);
    next.edition = parsed.edition();
    next.configuration = Document::new(document);
    next.applied_changes.push_back(AppliedChange { digest, edition: next.edition });
    while next.applied_changes.len() > MAX_APPLIED_CHANGES {
        next.applied_changes.pop_front();
    }
    Ok(next)
}

/// Names a version of a model.
///
/// # Errors
///
/// [`Declined::Unchanged`] when this version or a newer one was named.
pub fn with_version(state: &ControlState, model: &str, version: u64) -> Result<ControlState, ChangeRejected> {
    if state.named_versions.get(model).copied().unwrap_or(FIRST_VERSION) >= version {
        return Err(ChangeRejected::Unchanged);
    }
    let mut next = successor(state);
    next.named_versions.insert(model.to_owned(), version);
    Ok(next)
}

/// Has a store machine emptied.
///
/// # Errors
///
/// When it is under way already, no such machine keeps batch jobs, or too few would be left.
pub fn with_draining(state: &ControlState, station: &str) -> Result<ControlState, ChangeRejected> {
    if state.draining.contains_key(station) {
        return Err(ChangeRejected::Unchanged);
    }
    let previous = state.previous_stores.iter().flat_map(|set| &set.members);
    let mut known = state.stores.members.iter().chain(previous);
    if !known.any(|store| store.member.name == station) {
        return Err(ChangeRejected::Unknown);
    }
    let stays = |of: &str| of != station && !state.draining.contains_key(of);
    let remaining = state.stores.members.iter().filter(|store| stays(&store.member.name)).count();
    if remaining < state.stores.replication_factor {
        return Err(ChangeRejected::TooFew);
    }
    let mut next = successor(state);
    next.draining.insert(station.to_owned(), DrainState::Rolling);
    Ok(next)
}

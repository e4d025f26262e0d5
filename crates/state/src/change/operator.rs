//! Changes by the operator and the trainers: configuration, versions to roll out, draining of stores.

use configuration::{Configuration, ConfigurationError};
use xxhash_rust::xxh3::Xxh3;

use super::successor;
use crate::{AppliedChange, ControlState, Document, DrainState, MAX_APPLIED_CHANGES};

/// The version of a model for which no trainer has named any.
const INITIAL_MODEL_VERSION: u64 = 1;

/// How a configuration is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// A complete document replaces the present one.
    Replace,
    /// Named items are added, replaced and removed.
    Patch,
}

/// Why the committed state rejects a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeRejected {
    /// This very change was applied before.
    AlreadyApplied,
    /// It builds on another version of the configuration than the present one, which is this.
    VersionMismatch(u64),
    /// It builds on a version so old that it is unknown whether it was applied.
    TooOld,
    /// The present configuration, which it changes, cannot be read.
    Unreadable,
    /// The resulting configuration is invalid.
    Invalid(ConfigurationError),
    /// There is nothing to change.
    Unchanged,
    /// There is no such store machine.
    UnknownMember,
    /// Too few store machines would remain.
    TooFewStores,
}

/// A digest (XXH3, 128 bits) that identifies a change of the configuration by its content.
#[must_use]
pub fn change_digest(kind: ChangeKind, expected: u64, body: &[u8]) -> u128 {
    let mut hasher = Xxh3::new();
    hasher.update(&[u8::from(kind == ChangeKind::Patch)]);
    hasher.update(&expected.to_be_bytes());
    hasher.update(body);
    hasher.digest128()
}

/// Changes the configuration, if its present version is `expected`. `digest` is the [`change_digest`] of the others.
///
/// # Errors
///
/// [`ChangeRejected::AlreadyApplied`] for a change that this state contains, whatever was applied after it. Otherwise
/// [`ChangeRejected::VersionMismatch`] or [`ChangeRejected::TooOld`] where `expected` is not the present version, and
/// [`ChangeRejected::Unreadable`] or [`ChangeRejected::Invalid`] where no valid configuration results.
pub fn with_configuration(
    state: &ControlState,
    kind: ChangeKind,
    expected: u64,
    digest: u128,
    body: &[u8],
) -> Result<ControlState, ChangeRejected> {
    if state.applied_changes.iter().any(|applied| applied.digest == digest) {
        return Err(ChangeRejected::AlreadyApplied);
    }
    if expected != state.configuration_version {
        return Err(version_mismatch(state, expected));
    }
    let document = changed_document(state, kind, body)?;
    let parsed = Configuration::parse(document.as_bytes()).map_err(ChangeRejected::Invalid)?;
    let mut next = successor(state);
    next.configuration_version = parsed.version();
    next.configuration = Document::new(document);
    next.applied_changes.push_back(AppliedChange { digest, version: next.configuration_version });
    while next.applied_changes.len() > MAX_APPLIED_CHANGES {
        next.applied_changes.pop_front();
    }
    Ok(next)
}

/// Why a change on top of another version than the present one is rejected.
fn version_mismatch(state: &ControlState, expected: u64) -> ChangeRejected {
    if state.forgets_changes_on(expected) {
        ChangeRejected::TooOld
    } else {
        ChangeRejected::VersionMismatch(state.configuration_version)
    }
}

/// The JSON document that a change leads to.
fn changed_document(state: &ControlState, kind: ChangeKind, body: &[u8]) -> Result<String, ChangeRejected> {
    let changed = match kind {
        ChangeKind::Replace => configuration::replace(state.configuration_version, body),
        ChangeKind::Patch => {
            let present = state.configuration.text().map_err(|_| ChangeRejected::Unreadable)?;
            configuration::patch(present, body)
        }
    };
    changed.map_err(ChangeRejected::Invalid)
}

/// Sets the version of a model to roll out.
///
/// # Errors
///
/// [`ChangeRejected::Unchanged`] when this version or a higher one was named before.
pub fn with_target_version(
    state: &ControlState,
    model: &str,
    version: u64,
) -> Result<ControlState, ChangeRejected> {
    let present = state.target_versions.get(model).copied().unwrap_or(INITIAL_MODEL_VERSION);
    if present >= version {
        return Err(ChangeRejected::Unchanged);
    }
    let mut next = successor(state);
    next.target_versions.insert(model.to_owned(), version);
    Ok(next)
}

/// Orders a store machine to be drained; the leader then carries it out.
///
/// # Errors
///
/// When it is being drained already, there is no such store, or too few would remain.
pub fn with_draining(state: &ControlState, name: &str) -> Result<ControlState, ChangeRejected> {
    if state.draining.contains_key(name) {
        return Err(ChangeRejected::Unchanged);
    }
    let previous = state.previous_stores.iter().flat_map(|set| &set.members);
    let mut known = state.stores.members.iter().chain(previous);
    if !known.any(|store| store.member.name == name) {
        return Err(ChangeRejected::UnknownMember);
    }
    let stays = |other: &str| other != name && !state.draining.contains_key(other);
    let remaining = state.stores.members.iter().filter(|store| stays(&store.member.name)).count();
    if remaining < state.stores.replication_factor {
        return Err(ChangeRejected::TooFewStores);
    }
    let mut next = successor(state);
    next.draining.insert(name.to_owned(), DrainState::Draining);
    Ok(next)
}

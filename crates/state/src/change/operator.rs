//! Changes that operators and trainers request: configuration, weight versions to roll out, draining of
//! stores.

use configuration::{Configuration, ConfigurationError};
use xxhash_rust::xxh3::Xxh3;

use super::successor;
use crate::{AppliedChange, ControlState, Document, DrainState, MAX_APPLIED_CHANGES};

/// Weight version to roll out for a model for which no trainer has requested one.
const INITIAL_MODEL_VERSION: u64 = 1;

/// Way in which the body of a change is applied to the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// The body is a complete document, which replaces the current one.
    Replace,
    /// The body lists items of the configuration to add, replace or remove, by name.
    Patch,
}

/// Reason why the control state rejects a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeRejected {
    /// The state already records this change as applied.
    AlreadyApplied,
    /// The change is based on another version of the configuration than the current one; contains the current
    /// version.
    VersionMismatch(u64),
    /// The change is based on a version so old that the control state no longer records whether it was
    /// applied.
    TooOld,
    /// The current configuration, to which the change must be applied, is corrupt.
    Unreadable,
    /// The resulting configuration is invalid.
    Invalid(ConfigurationError),
    /// The state already contains the change, or a later one that includes it.
    Unchanged,
    /// No machine with this name is a store.
    UnknownMember,
    /// Fewer store machines would remain than a batch job has replicas.
    TooFewStores,
}

/// Computes the 128-bit XXH3 digest that identifies a change of the configuration by its content.
#[must_use]
pub fn change_digest(kind: ChangeKind, expected: u64, body: &[u8]) -> u128 {
    let mut hasher = Xxh3::new();
    hasher.update(&[u8::from(kind == ChangeKind::Patch)]);
    hasher.update(&expected.to_be_bytes());
    hasher.update(body);
    hasher.digest128()
}

/// Changes the configuration, if its current version is `expected`. `digest` is the [`change_digest`] of
/// `kind`, `expected` and `body`.
///
/// # Errors
///
/// - [`ChangeRejected::AlreadyApplied`] if the state records that this change was applied, even if others
///   followed.
/// - [`ChangeRejected::VersionMismatch`] or [`ChangeRejected::TooOld`] if `expected` is not the current
///   version.
/// - [`ChangeRejected::Unreadable`] or [`ChangeRejected::Invalid`] if no valid configuration results.
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

/// Returns the reason why a change based on the version `expected`, which is not the current one, is
/// rejected.
fn version_mismatch(state: &ControlState, expected: u64) -> ChangeRejected {
    if state.may_have_dropped_changes_on(expected) {
        ChangeRejected::TooOld
    } else {
        ChangeRejected::VersionMismatch(state.configuration_version)
    }
}

/// Returns the JSON document that results from a change.
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

/// Sets the weight version to roll out for a model.
///
/// # Errors
///
/// [`ChangeRejected::Unchanged`] if this version or a higher one is set already.
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

/// Marks a store machine as draining. The leader then removes it from the store set and migrates its batch
/// jobs.
///
/// # Errors
///
/// - [`ChangeRejected::Unchanged`] if the machine is marked already, or drained.
/// - [`ChangeRejected::UnknownMember`] if no store has this name.
/// - [`ChangeRejected::TooFewStores`] if fewer stores would remain than a batch job has replicas.
pub fn with_draining(state: &ControlState, name: &str) -> Result<ControlState, ChangeRejected> {
    if state.draining.contains_key(name) {
        return Err(ChangeRejected::Unchanged);
    }
    let previous = state.previous_stores.iter().flat_map(|set| &set.members);
    let mut all_stores = state.stores.members.iter().chain(previous);
    if !all_stores.any(|store| store.member.name == name) {
        return Err(ChangeRejected::UnknownMember);
    }
    let will_remain = |other: &str| other != name && !state.draining.contains_key(other);
    let remaining = state.stores.members.iter().filter(|store| will_remain(&store.member.name)).count();
    if remaining < state.stores.replication_factor {
        return Err(ChangeRejected::TooFewStores);
    }
    let mut next = successor(state);
    next.draining.insert(name.to_owned(), DrainState::Draining);
    Ok(next)
}

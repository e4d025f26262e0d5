//! Updates of the control state: the configuration, its largest part, goes along only where it changed.

use std::collections::VecDeque;
use std::sync::Arc;

use register::Versioned;
use serde::{Deserialize, Serialize};
use state::{AppliedChange, ControlState, Document, MAX_APPLIED_CHANGES};

/// A newer committed value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlUpdate {
    /// The value, without what [`ConfigurationPart`] holds.
    rest: Versioned<ControlState>,
    /// `None` where the receiver holds this version of the configuration.
    configuration: Option<ConfigurationPart>,
}

/// The parts of the control state that change only with the version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ConfigurationPart {
    configuration: Document,
    taken: TakenPart,
}

/// The changes that were taken: all, or those since the version that the receiver holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum TakenPart {
    Whole(VecDeque<AppliedChange>),
    Since { edition: u64, changes: Vec<AppliedChange> },
}

impl TakenPart {
    fn new(taken: VecDeque<AppliedChange>, edition_held: u64) -> Self {
        match taken.iter().position(|change| change.version == edition_held) {
            Some(held) => {
                Self::Since { edition: edition_held, changes: taken.into_iter().skip(held + 1).collect() }
            }
            None => Self::Whole(taken),
        }
    }

    fn apply(self, held: &ControlState) -> Option<VecDeque<AppliedChange>> {
        match self {
            Self::Whole(taken) => Some(taken),
            Self::Since { edition, changes } if held.configuration_version == edition => {
                let mut taken = held.applied_changes.clone();
                taken.extend(changes);
                let surplus = taken.len().saturating_sub(MAX_APPLIED_CHANGES);
                taken.drain(..surplus);
                Some(taken)
            }
            Self::Since { .. } => None,
        }
    }
}

impl ControlUpdate {
    /// What a process that holds version `edition_held` of the configuration needs to have `newest`.
    #[must_use]
    pub fn new(newest: &Versioned<ControlState>, edition_held: u64) -> Self {
        let mut state = ControlState::clone(&newest.value);
        let configuration = std::mem::take(&mut state.configuration);
        let taken = TakenPart::new(std::mem::take(&mut state.applied_changes), edition_held);
        let part = ConfigurationPart { configuration, taken };
        let is_held = state.configuration_version == edition_held;
        let rest = Versioned { value: Arc::new(state), ..newest.clone() };
        Self { rest, configuration: (!is_held).then_some(part) }
    }

    /// The newest value; `None` where it builds on another version of the configuration than the one `held`.
    #[must_use]
    pub fn apply(self, held: &ControlState) -> Option<Versioned<ControlState>> {
        let mut state = Arc::unwrap_or_clone(self.rest.value);
        match self.configuration {
            Some(part) => {
                state.configuration = part.configuration;
                state.applied_changes = part.taken.apply(held)?;
            }
            None if held.configuration_version == state.configuration_version => {
                state.configuration.clone_from(&held.configuration);
                state.applied_changes.clone_from(&held.applied_changes);
            }
            None => return None,
        }
        Some(Versioned { value: Arc::new(state), ..self.rest })
    }
}

//! Updates of the control state. The configuration, its largest part, is included only if it has changed.

use std::collections::VecDeque;
use std::sync::Arc;

use register::Versioned;
use serde::{Deserialize, Serialize};
use state::{AppliedChange, ControlState, Document, MAX_APPLIED_CHANGES};

/// Update to a newer committed value, without the parts of the value that the receiver has already.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlUpdate {
    /// Newer committed value, with the fields in [`ConfigurationPart`] empty.
    without_configuration: Versioned<ControlState>,
    /// Fields that `without_configuration` lacks; `None` if the receiver has this version of the
    /// configuration.
    configuration: Option<ConfigurationPart>,
}

/// Fields of the control state that change only with the version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ConfigurationPart {
    configuration: Document,
    applied_changes: AppliedChangesPart,
}

/// Applied changes of the configuration: all of them, or only those after the version that the receiver has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum AppliedChangesPart {
    Complete(VecDeque<AppliedChange>),
    Since { version: u64, changes: Vec<AppliedChange> },
}

impl AppliedChangesPart {
    fn new(changes: VecDeque<AppliedChange>, receiver_version: u64) -> Self {
        match changes.iter().position(|change| change.version == receiver_version) {
            Some(position) => Self::Since {
                version: receiver_version,
                changes: changes.into_iter().skip(position + 1).collect(),
            },
            None => Self::Complete(changes),
        }
    }

    fn apply(self, present: &ControlState) -> Option<VecDeque<AppliedChange>> {
        match self {
            Self::Complete(changes) => Some(changes),
            Self::Since { version, changes } if present.configuration_version == version => {
                let mut applied = present.applied_changes.clone();
                applied.extend(changes);
                let surplus = applied.len().saturating_sub(MAX_APPLIED_CHANGES);
                applied.drain(..surplus);
                Some(applied)
            }
            Self::Since { .. } => None,
        }
    }
}

impl ControlUpdate {
    /// Creates the update to `newest` for a process that has the version `receiver_version` of the
    /// configuration.
    #[must_use]
    pub fn new(newest: &Versioned<ControlState>, receiver_version: u64) -> Self {
        let mut state = ControlState::clone(&newest.value);
        let part = ConfigurationPart {
            configuration: std::mem::take(&mut state.configuration),
            applied_changes: AppliedChangesPart::new(
                std::mem::take(&mut state.applied_changes),
                receiver_version,
            ),
        };
        let has_configuration = state.configuration_version == receiver_version;
        let without_configuration = Versioned { value: Arc::new(state), ..newest.clone() };
        Self { without_configuration, configuration: (!has_configuration).then_some(part) }
    }

    /// Applies the update to the state `present` and returns the newer value, or `None` if the update is
    /// based on another version of the configuration than `present` has.
    #[must_use]
    pub fn apply(self, present: &ControlState) -> Option<Versioned<ControlState>> {
        let mut state = Arc::unwrap_or_clone(self.without_configuration.value);
        match self.configuration {
            Some(part) => {
                state.configuration = part.configuration;
                state.applied_changes = part.applied_changes.apply(present)?;
            }
            None if present.configuration_version == state.configuration_version => {
                state.configuration.clone_from(&present.configuration);
                state.applied_changes.clone_from(&present.applied_changes);
            }
            None => return None,
        }
        Some(Versioned { value: Arc::new(state), ..self.without_configuration })
    }
}

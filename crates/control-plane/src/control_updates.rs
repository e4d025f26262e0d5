//! Updates of the control state: the configuration, its largest part, goes along only where it changed.

use std::collections::VecDeque;
use std::sync::Arc;

use register::Versioned;
use serde::{Deserialize, Serialize};
use state::{ControlState, TakenChange};

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
    configuration: String,
    taken: VecDeque<TakenChange>,
}

impl ControlUpdate {
    /// What a process that holds version `edition_held` of the configuration needs to have `newest`.
    #[must_use]
    pub fn new(newest: &Versioned<ControlState>, edition_held: u64) -> Self {
        let mut state = ControlState::clone(&newest.value);
        let configuration = std::mem::take(&mut state.configuration);
        let part = ConfigurationPart { configuration, taken: std::mem::take(&mut state.taken) };
        let is_held = state.edition == edition_held;
        let rest = Versioned { value: Arc::new(state), ..newest.clone() };
        Self { rest, configuration: (!is_held).then_some(part) }
    }

    /// The newest value; `None` where it needs a configuration that is not the one `held`.
    #[must_use]
    pub fn apply(self, held: &ControlState) -> Option<Versioned<ControlState>> {
        let mut state = Arc::unwrap_or_clone(self.rest.value);
        match self.configuration {
            Some(part) => {
                state.configuration = part.configuration;
                state.taken = part.taken;
            }
            None if held.edition == state.edition => {
                state.configuration.clone_from(&held.configuration);
                state.taken.clone_from(&held.taken);
            }
            None => return None,
        }
        Some(Versioned { value: Arc::new(state), ..self.rest })
    }
}

//! Updates of the control state: the configuration, its largest part, goes along only where it changed.

use std::collections::VecDeque;
use std::sync::Arc;

use register::{Ballot, Versioned};
use serde::{Deserialize, Serialize};
use state::{ControlState, TakenChange};

/// A newer committed value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlUpdate {
    ballot: Ballot,
    /// The value, without what [`ConfigurationPart`] holds.
    rest: ControlState,
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
        let state = &newest.value;
        let rest = without_configuration(state);
        let part =
            || ConfigurationPart { configuration: state.configuration.clone(), taken: state.taken.clone() };
        let configuration = (state.edition != edition_held).then(part);
        Self { ballot: newest.ballot, rest, configuration }
    }

    /// The newest value; `None` where it needs a configuration that is not the one `held`.
    #[must_use]
    pub fn apply(self, held: &ControlState) -> Option<Versioned<ControlState>> {
        let part = match self.configuration {
            Some(part) => part,
            None if held.edition == self.rest.edition => {
                ConfigurationPart { configuration: held.configuration.clone(), taken: held.taken.clone() }
            }
            None => return None,
        };
        let value = ControlState { configuration: part.configuration, taken: part.taken, ..self.rest };
        Some(Versioned { ballot: self.ballot, value: Arc::new(value) })
    }
}

fn without_configuration(state: &ControlState) -> ControlState {
    ControlState {
        revision: state.revision,
        acceptors: state.acceptors.clone(),
        acceptors_wanted: state.acceptors_wanted,
        configuration: String::new(),
        edition: state.edition,
        taken: VecDeque::new(),
        named_versions: state.named_versions.clone(),
        fence: state.fence,
        fence_holder: state.fence_holder.clone(),
        fence_holder_before: state.fence_holder_before.clone(),
        stores: state.stores.clone(),
        previous_stores: state.previous_stores.clone(),
        draining: state.draining.clone(),
    }
}

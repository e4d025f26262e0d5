//! Versions of the models that a server runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// After a refusal, a server is not asked for that version again for this long.
const REFUSAL_KEPT: Duration = Duration::from_millis(300);

/// A server that refused a request although it had places is loading a version of the model: it is not asked for
/// that model again for this long; the time doubles with each further refusal, ...
const LOADING_FIRST: Duration = Duration::from_millis(100);
/// ... up to this.
const LOADING_MOST: Duration = Duration::from_millis(400);

/// The version that servers begin with.
const FIRST_VERSION: u64 = 1;

/// Which versions of its model a request may be run by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionNeed {
    /// Any.
    Any,
    /// This one or a newer one.
    AtLeast(u64),
    /// This one alone.
    Exactly(u64),
}

/// What is known of one server's versions. They only rise within one incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Versions {
    known: BTreeMap<Arc<str>, u64>,
    refused: Option<Refusal>,
    loading: BTreeMap<Arc<str>, Loading>,
}

/// A model of which the server seems to load a version.
#[derive(Clone, Copy, Debug)]
struct Loading {
    until: Duration,
    pause: Duration,
}

#[derive(Clone, Debug)]
struct Refusal {
    model: Arc<str>,
    version: u64,
    until: Duration,
}

impl Versions {
    /// Takes in what the list of servers shows.
    pub(crate) fn listed(&mut self, models: &BTreeMap<Arc<str>, u64>) {
        for (model, version) in models {
            self.seen(model, *version);
        }
    }

    /// The server refused a request for a model although it had places.
    pub(crate) fn is_loading(&mut self, now: Duration, model: &str) {
        let before = self.loading.get(model).map(|loading| loading.pause * 2);
        let pause = before.unwrap_or(LOADING_FIRST).min(LOADING_MOST);
        self.loading.insert(model.into(), Loading { until: now + pause, pause });
    }

    /// The server runs a request for a model.
    pub(crate) fn runs(&mut self, model: &str) {
        self.loading.remove(model);
    }

    /// Takes in evidence from an answer.
    pub(crate) fn seen(&mut self, model: &str, version: u64) {
        match self.known.get_mut(model) {
            Some(known) => *known = version.max(*known),
            None => drop(self.known.insert(model.into(), version)),
        }
    }

    /// The server refused this version.
    pub(crate) fn refused(&mut self, now: Duration, model: &str, version: u64) {
        self.refused = Some(Refusal { model: model.into(), version, until: now + REFUSAL_KEPT });
    }

    /// The version of a model.
    pub(crate) fn of(&self, model: Option<&str>) -> Option<u64> {
        self.known.get(model?).copied()
    }

    /// Whether the server may hold this model: it shows that model, or none at all.
    pub(crate) fn may_hold(&self, model: Option<&str>) -> bool {
        self.known.is_empty() || model.is_none_or(|model| self.known.contains_key(model))
    }

    /// Whether the server fits.
    pub(crate) fn fits(&self, now: Duration, model: Option<&str>, need: VersionNeed) -> bool {
        let Some(model) = model else {
            return true;
        };
        if self.loading.get(model).is_some_and(|loading| now < loading.until) {
            return false;
        }
        let known = self.of(Some(model));
        let version_fits = match need {
            VersionNeed::Any | VersionNeed::AtLeast(..=FIRST_VERSION) => return true,
            VersionNeed::AtLeast(oldest) => known.is_some_and(|version| version >= oldest),
            VersionNeed::Exactly(wanted) => known == Some(wanted),
        };
        version_fits && !self.is_refused(now, model, known)
    }

    fn is_refused(&self, now: Duration, model: &str, version: Option<u64>) -> bool {
        let Some(refusal) = &self.refused else {
            return false;
        };
        now < refusal.until && &*refusal.model == model && Some(refusal.version) == version
    }
}

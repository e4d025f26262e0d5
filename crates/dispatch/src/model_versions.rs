//! The versions of the models that one server serves, from the server list and from its responses.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::criteria::VersionRequirement;

/// A server that rejected a version is not sent another request for it for this long.
const VERSION_REJECTION_TTL: Duration = Duration::from_millis(300);

/// A server that is loading a model is not sent requests for it for this long; the time doubles with each further
/// rejection that follows soon.
const INITIAL_LOADING_BACKOFF: Duration = Duration::from_millis(100);
/// The loading backoff does not grow beyond this.
const MAX_LOADING_BACKOFF: Duration = Duration::from_millis(400);
/// A rejection that comes this long after the end of the last backoff belongs to another load.
const LOADING_BACKOFF_MEMORY: Duration = Duration::from_millis(1000);

/// The version that servers start with: every server of a model has it or a newer one.
const INITIAL_VERSION: u64 = 1;

/// What is known of one server's versions. They only rise within one incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct ModelVersions {
    /// The newest known version of each model.
    known: BTreeMap<Arc<str>, u64>,
    last_rejection: Option<VersionRejection>,
    /// Models that the server seemed to be loading when it last rejected a request for them.
    loading: BTreeMap<Arc<str>, LoadingBackoff>,
}

/// The time in which no request for a model goes to a server that seems to be loading it.
#[derive(Clone, Copy, Debug)]
struct LoadingBackoff {
    until: Duration,
    /// Its length, which doubles with each further rejection.
    duration: Duration,
}

/// A version that the server rejected, although it was known to serve it.
#[derive(Clone, Debug)]
struct VersionRejection {
    model: Arc<str>,
    version: u64,
    valid_until: Duration,
}

impl ModelVersions {
    /// Records the versions in a server list, which may be older than what responses showed.
    pub(crate) fn record_listed(&mut self, models: &BTreeMap<Arc<str>, u64>) {
        for (model, version) in models {
            self.record(model, *version);
        }
    }

    /// Records a version that a response showed.
    pub(crate) fn record(&mut self, model: &str, version: u64) {
        match self.known.get_mut(model) {
            Some(known) => *known = version.max(*known),
            None => drop(self.known.insert(model.into(), version)),
        }
    }

    /// Records that the server rejected a request for this version.
    pub(crate) fn record_rejected(&mut self, now: Duration, model: &str, version: u64) {
        let valid_until = now + VERSION_REJECTION_TTL;
        self.last_rejection = Some(VersionRejection { model: model.into(), version, valid_until });
    }

    /// Records that the server rejected a request for this model despite free capacity.
    pub(crate) fn record_loading(&mut self, now: Duration, model: &str) {
        let last = self.loading.get(model).filter(|last| now < last.until + LOADING_BACKOFF_MEMORY);
        let doubled = last.map(|backoff| backoff.duration * 2);
        let duration = doubled.unwrap_or(INITIAL_LOADING_BACKOFF).min(MAX_LOADING_BACKOFF);
        self.loading.insert(model.into(), LoadingBackoff { until: now + duration, duration });
    }

    /// Records that the server serves requests for this model, which ends its loading backoff.
    pub(crate) fn record_serving(&mut self, model: &str) {
        self.loading.remove(model);
    }

    /// Returns the known version of a model.
    pub(crate) fn get(&self, model: Option<&str>) -> Option<u64> {
        self.known.get(model?).copied()
    }

    /// Whether the server may serve this model: it lists that model, or none at all.
    pub(crate) fn may_serve(&self, model: Option<&str>) -> bool {
        self.known.is_empty() || model.is_none_or(|model| self.known.contains_key(model))
    }

    /// Whether the server satisfies the requirement and isn't loading the model.
    pub(crate) fn satisfies(
        &self,
        now: Duration,
        model: Option<&str>,
        requirement: VersionRequirement,
    ) -> bool {
        let Some(model) = model else {
            return true;
        };
        if self.loading.get(model).is_some_and(|backoff| now < backoff.until) {
            return false;
        }
        let known = self.get(Some(model));
        let is_satisfied = match requirement {
            VersionRequirement::Any | VersionRequirement::AtLeast(..=INITIAL_VERSION) => return true,
            VersionRequirement::AtLeast(oldest) => known.is_some_and(|version| version >= oldest),
            VersionRequirement::Exactly(required) => known == Some(required),
        };
        is_satisfied && !self.is_rejected(now, model, known)
    }

    fn is_rejected(&self, now: Duration, model: &str, version: Option<u64>) -> bool {
        let Some(rejection) = &self.last_rejection else {
            return false;
        };
        now < rejection.valid_until && &*rejection.model == model && Some(rejection.version) == version
    }
}

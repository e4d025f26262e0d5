//! Model versions of one server, as known from the server list and from its responses.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::criteria::VersionRequirement;

/// Time after a version rejection for which the server does not count as serving the rejected version.
/// Requirements that any version satisfies are not affected.
const VERSION_REJECTION_TTL: Duration = Duration::from_millis(300);

/// Initial time for which a server that is loading a model gets no requests for it. It doubles with each
/// further rejection within [`LOADING_BACKOFF_RESET_DELAY`].
const INITIAL_LOADING_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum duration of a loading backoff.
const MAX_LOADING_BACKOFF: Duration = Duration::from_millis(400);
/// Time after the end of a loading backoff in which a further rejection counts as caused by the same load. A
/// later one starts again with [`INITIAL_LOADING_BACKOFF`].
const LOADING_BACKOFF_RESET_DELAY: Duration = Duration::from_millis(1000);

/// Version with which servers start. Every server of a model has this version or a newer one.
const INITIAL_VERSION: u64 = 1;

/// Known model versions of one server. Within one incarnation, versions only increase.
#[derive(Clone, Debug, Default)]
pub(crate) struct ModelVersions {
    /// Newest known version by model.
    known: BTreeMap<Arc<str>, u64>,
    /// Latest version rejection, of any model; only one is kept.
    last_rejection: Option<VersionRejection>,
    /// Latest loading backoff by model; removed when the server serves the model again.
    loading: BTreeMap<Arc<str>, LoadingBackoff>,
}

/// Period in which a server gets no requests for a model, because it is probably loading another version of
/// it.
#[derive(Clone, Copy, Debug)]
struct LoadingBackoff {
    until: Duration,
    /// Length of the period, which doubles with each further rejection.
    duration: Duration,
}

/// Rejection of a request for a version that the server was known to serve.
#[derive(Clone, Debug)]
struct VersionRejection {
    model: Arc<str>,
    version: u64,
    valid_until: Duration,
}

impl ModelVersions {
    /// Records the versions in the server list. Versions lower than the known ones are ignored: the list may
    /// lag behind the responses.
    pub(crate) fn record_listed(&mut self, models: &BTreeMap<Arc<str>, u64>) {
        for (model, version) in models {
            self.record(model, *version);
        }
    }

    /// Records a version of a model; one lower than the known version is ignored.
    pub(crate) fn record(&mut self, model: &str, version: u64) {
        match self.known.get_mut(model) {
            Some(known) => *known = version.max(*known),
            None => drop(self.known.insert(model.into(), version)),
        }
    }

    /// Records that the server rejected a request because it does not serve this version.
    pub(crate) fn record_rejected(&mut self, now: Duration, model: &str, version: u64) {
        let valid_until = now + VERSION_REJECTION_TTL;
        self.last_rejection = Some(VersionRejection { model: model.into(), version, valid_until });
    }

    /// Records that the server rejected a request for this model despite free capacity, and starts a loading
    /// backoff.
    pub(crate) fn record_loading(&mut self, now: Duration, model: &str) {
        let last = self.loading.get(model).filter(|last| now < last.until + LOADING_BACKOFF_RESET_DELAY);
        let doubled = last.map(|backoff| backoff.duration * 2);
        let duration = doubled.unwrap_or(INITIAL_LOADING_BACKOFF).min(MAX_LOADING_BACKOFF);
        self.loading.insert(model.into(), LoadingBackoff { until: now + duration, duration });
    }

    /// Records that the server served a request for this model, which ends the loading backoff of the model.
    pub(crate) fn record_serving(&mut self, model: &str) {
        self.loading.remove(model);
    }

    /// Returns the known version of a model; `None` without a model or if none is known.
    pub(crate) fn get(&self, model: Option<&str>) -> Option<u64> {
        self.known.get(model?).copied()
    }

    /// Returns whether the server may serve this model: it lists the model, or lists no models at all. Always
    /// `true` without a model.
    pub(crate) fn may_serve(&self, model: Option<&str>) -> bool {
        self.known.is_empty() || model.is_none_or(|model| self.known.contains_key(model))
    }

    /// Returns whether the server satisfies the version requirement and has no loading backoff for the model.
    /// Always `true` without a model.
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

    /// Returns whether the last rejection is of this version of the model, and less than
    /// [`VERSION_REJECTION_TTL`] old.
    fn is_rejected(&self, now: Duration, model: &str, version: Option<u64>) -> bool {
        let Some(rejection) = &self.last_rejection else {
            return false;
        };
        now < rejection.valid_until && &*rejection.model == model && Some(rejection.version) == version
    }
}

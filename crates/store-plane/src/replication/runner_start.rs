//! Passes owned batch jobs to the runner: loads and parses what was submitted.

use std::sync::Arc;

use batch::{Entry, JobId, JobOutline, LogEntry, SubmittedJob};
use tokio::time::Instant;

use super::log_entries::{is_ended, items_with_results};
use super::node::StoreNode;
use super::owned_job::{JobOwner, JobState, OwnedJob, ReplicatedLog};
use super::state::{OwnedEntry, ReplicationState};

impl StoreNode {
    /// Passes a batch job whose adopted log is committed under the present ownership to the runner. Does nothing
    /// while it is being loaded for that.
    pub fn start_runner(self: &Arc<Self>, state: &mut ReplicationState, id: &JobId) {
        let Some(owned) = state.ownerships.get_mut(id).filter(|owned| !owned.is_parsing) else { return };
        let Some(first) = owned.ownership.committed().first().cloned() else { return };
        match first.resident() {
            Some(entry) => self.parse_and_run(state, id, &first, &entry),
            None => {
                owned.is_parsing = true;
                let token = owned.token;
                tokio::spawn(Arc::clone(self).load_and_run(Arc::clone(id), token, first));
            }
        }
    }

    /// Loads the first entry of a log, parses it and passes the batch job to the runner, unless the ownership that
    /// `token` identifies has ended meanwhile. If that fails, it is done again after the next change of the
    /// ownership.
    async fn load_and_run(self: Arc<Self>, id: JobId, token: u64, first: LogEntry) {
        let _share = self.budgets.loads.acquire(first.size_bytes()).await;
        let loaded = self.load_entry(first.clone()).await;
        let mut state = self.lock();
        let Some(owned) = state.ownerships.get_mut(&id).filter(|owned| owned.token == token) else { return };
        owned.is_parsing = false;
        let can_start = owned.job.is_none() && owned.ownership.is_established();
        match loaded {
            Ok(entry) if can_start && !owned.has_all_results() => {
                self.parse_and_run(&mut state, &id, &first, &entry);
            }
            Ok(_) => {}
            Err(error) => log::error!("the items of batch job {id} are not run yet: {error}"),
        }
    }

    /// Parses the batch job, whose first entry has the content `content`, and passes it to the runner.
    fn parse_and_run(
        self: &Arc<Self>,
        state: &mut ReplicationState,
        id: &JobId,
        first: &LogEntry,
        content: &Entry,
    ) {
        let Entry::Job(submitted) = content else { return };
        let Ok(job) = JobOutline::parse(&submitted.body) else { return };
        let job = Arc::new(job);
        let age = state.job_status.age(id, Instant::now());
        let Some(owned) = state.ownerships.get_mut(id) else { return };
        owned.job = Some(Arc::clone(&job));
        if is_ended(owned.ownership.log()) {
            owned.state.send_replace(JobState::Ended);
        }
        let log = self.replicated_log(id, owned, first);
        let SubmittedJob { host, path, .. } = submitted;
        let owned_job = OwnedJob {
            id: Arc::clone(id),
            job,
            host: Arc::clone(host),
            path: Arc::clone(path),
            age,
            items_with_results: items_with_results(owned.ownership.committed()),
            log,
        };
        // Sending fails if the runner was dropped, which happens only when the process is about to exit.
        let _ = self.owned_jobs.send(owned_job);
    }

    fn replicated_log(self: &Arc<Self>, id: &JobId, owned: &OwnedEntry, first: &LogEntry) -> ReplicatedLog {
        ReplicatedLog {
            job: Arc::clone(id),
            token: owned.token,
            submission: first.clone(),
            state: owned.state.subscribe(),
            owner: Arc::clone(self) as Arc<dyn JobOwner>,
        }
    }
}

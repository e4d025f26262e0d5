//! The child processes that run the system under test.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use super::error::FleetError;
use super::layout::Layout;
use super::process::Process;
use super::settings_file::SettingsFile;

/// Time between two checks whether a process that received SIGTERM has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The processes of a fleet, by names such as `node-1` and `store-2`. Dropping the fleet kills all of them.
#[derive(Debug)]
pub struct Fleet {
    /// Program that all processes run.
    executable: PathBuf,
    processes: BTreeMap<String, Process>,
}

impl Fleet {
    /// Prepares the processes of a layout without starting them. Each process has a directory for its files
    /// under `directory`.
    #[must_use]
    pub fn new(layout: &Layout, executable: &Path, directory: &Path) -> Self {
        let node = |node| {
            let name = format!("node-{}", node + 1);
            let directory = directory.join(&name);
            let settings = SettingsFile::node(layout, node, &directory);
            (name.clone(), Process::new(name, directory, settings))
        };
        let store = |store| {
            let name = format!("store-{}", store + 1);
            let directory = directory.join(&name);
            let settings = SettingsFile::store(layout, store, &directory);
            (name.clone(), Process::new(name, directory, settings))
        };
        let processes = (0..layout.nodes).map(node).chain((0..layout.stores).map(store)).collect();
        Self { executable: executable.to_owned(), processes }
    }

    /// Returns the names of all processes, running or not.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    fn process(&mut self, name: &str) -> Result<&mut Process, FleetError> {
        self.processes.get_mut(name).ok_or_else(|| FleetError::UnknownProcess(name.to_owned()))
    }

    /// Starts every process that is not running.
    ///
    /// # Errors
    ///
    /// When a process cannot be started.
    pub fn start_all(&mut self) -> Result<(), FleetError> {
        self.names().iter().try_for_each(|name| self.start(name))
    }

    /// Starts a process, unless it is running. `firstStart` in its settings, which says that the system
    /// starts for the first time, is set only for the first start of the process.
    ///
    /// # Errors
    ///
    /// When there is no such process, or it cannot be started.
    pub fn start(&mut self, name: &str) -> Result<(), FleetError> {
        let executable = self.executable.clone();
        self.process(name)?.start(&executable)
    }

    /// Kills a process and waits for its end; does nothing if it is not running.
    ///
    /// # Errors
    ///
    /// When there is no such process, or it cannot be killed.
    pub fn kill(&mut self, name: &str) -> Result<(), FleetError> {
        self.process(name)?.kill()
    }

    /// Shuts a process down by SIGTERM and kills it if it has not ended after `grace`; returns whether it
    /// ended in time.
    ///
    /// # Errors
    ///
    /// When there is no such process, or it cannot be signalled.
    pub async fn stop(&mut self, name: &str, grace: Duration) -> Result<bool, FleetError> {
        let process = self.process(name)?;
        process.terminate()?;
        let deadline = Instant::now() + grace;
        while !process.has_ended()? {
            if Instant::now() > deadline {
                process.kill()?;
                return Ok(false);
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
        Ok(true)
    }

    /// Shuts all processes down by SIGTERM and kills those that have not ended after `grace`; returns the
    /// names of the killed processes.
    ///
    /// # Errors
    ///
    /// When a process cannot be signalled.
    pub async fn stop_all(&mut self, grace: Duration) -> Result<Vec<String>, FleetError> {
        self.processes.values().try_for_each(Process::terminate)?;
        let deadline = Instant::now() + grace;
        let mut killed = Vec::new();
        for name in self.names() {
            if !self.stop(&name, deadline.saturating_duration_since(Instant::now())).await? {
                killed.push(name);
            }
        }
        Ok(killed)
    }

    /// Deletes the data of a process, which must not be running.
    ///
    /// # Errors
    ///
    /// When there is no such process, or its data cannot be deleted.
    pub fn wipe(&mut self, name: &str) -> Result<(), FleetError> {
        self.process(name)?.wipe()
    }

    /// Returns the names of the processes that exited unexpectedly since they were started, and marks them as
    /// not running.
    pub fn take_unexpected_exits(&mut self) -> Vec<String> {
        let exited = self.processes.iter_mut().filter_map(|(name, process)| {
            let has_exited = process.take_unexpected_exit();
            has_exited.then(|| name.clone())
        });
        exited.collect()
    }

    /// Returns whether a process was started and its end was not observed yet.
    #[must_use]
    pub fn is_running(&self, name: &str) -> bool {
        self.processes.get(name).is_some_and(Process::is_running)
    }
}

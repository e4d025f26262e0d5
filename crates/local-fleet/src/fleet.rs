//! The processes of the system.

use std::collections::BTreeMap;
use std::fmt;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

use crate::layout::Layout;
use crate::settings_file::{MachineClass, SettingsFile};

/// Names the settings file to a process.
const SETTINGS_VARIABLE: &str = "RUSHRUDDER_BOOT";
/// Variables of the caller that a process gets.
const VARIABLES_KEPT: [&str; 3] = ["PATH", "HOME", "LANG"];
/// A process that is told to end is looked at this often.
const LOOKED_AT_EVERY: Duration = Duration::from_millis(20);

/// A process cannot be started or told anything.
#[derive(Debug)]
pub enum FleetError {
    /// No process has this name.
    Unknown(String),
    /// Files or processes cannot be handled.
    System(String, io::Error),
    /// The settings cannot be written.
    Settings(toml::ser::Error),
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown(name) => write!(f, "no process is named {name}"),
            Self::System(what, error) => write!(f, "{what}: {error}"),
            Self::Settings(error) => write!(f, "settings cannot be written: {error}"),
        }
    }
}

impl std::error::Error for FleetError {}

fn system(what: impl Into<String>) -> impl FnOnce(io::Error) -> FleetError {
    let what = what.into();
    |error| FleetError::System(what, error)
}

#[derive(Debug)]
struct Process {
    directory: PathBuf,
    settings: SettingsFile,
    child: Option<Child>,
}

/// The processes of a fleet; all of them end when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    executable: PathBuf,
    processes: BTreeMap<String, Process>,
}

impl Fleet {
    /// Prepares the processes of a layout, with their files under `directory`; none is started.
    #[must_use]
    pub fn new(layout: &Layout, executable: &Path, directory: &Path) -> Self {
        let mut processes = BTreeMap::new();
        for node in 0..layout.nodes {
            let name = node_name(node);
            let directory = directory.join(&name);
            let settings = SettingsFile::node(layout, node, &directory);
            processes.insert(name, Process { directory, settings, child: None });
        }
        for store in 0..layout.stores {
            let name = store_name(store);
            let directory = directory.join(&name);
            let settings = SettingsFile::store(layout, store, &directory);
            processes.insert(name, Process { directory, settings, child: None });
        }
        Self { executable: executable.to_owned(), processes }
    }

    /// The names of all processes.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    fn process(&mut self, name: &str) -> Result<&mut Process, FleetError> {
        self.processes.get_mut(name).ok_or_else(|| FleetError::Unknown(name.to_owned()))
    }

    /// Starts every process that does not run.
    ///
    /// # Errors
    ///
    /// When one cannot be started.
    pub fn start_all(&mut self) -> Result<(), FleetError> {
        self.names().iter().try_for_each(|name| self.start(name))
    }

    /// Starts a process, unless it runs. Only its first start counts as the first start of the system.
    ///
    /// # Errors
    ///
    /// When it cannot be started.
    pub fn start(&mut self, name: &str) -> Result<(), FleetError> {
        let executable = self.executable.clone();
        let process = self.process(name)?;
        if process.child.is_some() {
            return Ok(());
        }
        process.child = Some(process.spawn(&executable)?);
        process.settings.first_start = false;
        Ok(())
    }

    /// Ends a process at once.
    ///
    /// # Errors
    ///
    /// When it cannot be told.
    pub fn kill(&mut self, name: &str) -> Result<(), FleetError> {
        if let Some(mut child) = self.process(name)?.child.take() {
            child.kill().map_err(system(name))?;
            child.wait().map_err(system(name))?;
        }
        Ok(())
    }

    /// Tells a process to end, and tells whether it did within `grace`; else it is killed.
    ///
    /// # Errors
    ///
    /// When it cannot be told.
    pub async fn stop(&mut self, name: &str, grace: Duration) -> Result<bool, FleetError> {
        self.terminate(name)?;
        let process = self.process(name)?;
        let until = Instant::now() + grace;
        while let Some(child) = process.child.as_mut() {
            if child.try_wait().map_err(system(name))?.is_some() {
                process.child = None;
                return Ok(true);
            }
            if Instant::now() > until {
                self.kill(name)?;
                return Ok(false);
            }
            tokio::time::sleep(LOOKED_AT_EVERY).await;
        }
        Ok(true)
    }

    fn terminate(&mut self, name: &str) -> Result<(), FleetError> {
        let Some(child) = &self.process(name)?.child else { return Ok(()) };
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| FleetError::Unknown(name.to_owned()))?;
        match kill_process(pid, Signal::TERM) {
            Ok(()) | Err(rustix::io::Errno::SRCH) => Ok(()),
            Err(error) => Err(FleetError::System(name.to_owned(), error.into())),
        }
    }

    /// Tells all processes to end, and names those that did not within `grace`.
    ///
    /// # Errors
    ///
    /// When one cannot be told.
    pub async fn stop_all(&mut self, grace: Duration) -> Result<Vec<String>, FleetError> {
        let names = self.names();
        names.iter().try_for_each(|name| self.terminate(name))?;
        let until = Instant::now() + grace;
        let mut late = Vec::new();
        for name in names {
            if !self.stop(&name, until.saturating_duration_since(Instant::now())).await? {
                late.push(name);
            }
        }
        Ok(late)
    }

    /// Removes the files of a process that does not run.
    ///
    /// # Errors
    ///
    /// When they cannot be removed.
    pub fn wipe(&mut self, name: &str) -> Result<(), FleetError> {
        let process = self.process(name)?;
        match process.settings.data_dir() {
            Some(data) if data.exists() => {
                fs::remove_dir_all(data).map_err(system(data.display().to_string()))
            }
            _ => Ok(()),
        }
    }

    /// The processes that ended by themselves since they were started; they count as not running from now on.
    pub fn take_ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for (name, process) in &mut self.processes {
            let status = process.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = status {
                log::warn!("{name} ended by itself: {status}");
                process.child = None;
                ended.push(name.clone());
            }
        }
        ended
    }

    /// Whether a process was started and not ended.
    #[must_use]
    pub fn runs(&self, name: &str) -> bool {
        self.processes.get(name).is_some_and(|process| process.child.is_some())
    }
}

/// The name of a node, counted from 0.
#[must_use]
pub fn node_name(node: u8) -> String {
    format!("node-{}", node + 1)
}

/// The name of a store, counted from 0.
#[must_use]
pub fn store_name(store: u8) -> String {
    format!("store-{}", store + 1)
}

impl Process {
    fn spawn(&self, executable: &Path) -> Result<Child, FleetError> {
        fs::create_dir_all(&self.directory).map_err(system(self.directory.display().to_string()))?;
        if let Some(data) = self.settings.data_dir() {
            fs::create_dir_all(data).map_err(system(data.display().to_string()))?;
        }
        let settings = self.directory.join("settings.toml");
        let text = self.settings.to_toml().map_err(FleetError::Settings)?;
        fs::write(&settings, text).map_err(system(settings.display().to_string()))?;
        let log = self.open_log()?;
        let errors = log.try_clone().map_err(system("log"))?;
        let mut command = Command::new(executable);
        command.arg(self.subcommand()).env_clear().env(SETTINGS_VARIABLE, &settings);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        for variable in VARIABLES_KEPT {
            if let Some(value) = std::env::var_os(variable) {
                command.env(variable, value);
            }
        }
        command.spawn().map_err(system(executable.display().to_string()))
    }

    fn open_log(&self) -> Result<File, FleetError> {
        let path = self.directory.join("log");
        File::options().create(true).append(true).open(&path).map_err(system(path.display().to_string()))
    }

    fn subcommand(&self) -> &'static str {
        match self.settings.machine_class() {
            MachineClass::Counter => "node",
            MachineClass::Vault => "store",
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (name, process) in &mut self.processes {
            let Some(child) = &mut process.child else { continue };
            if let Err(error) = child.kill().and_then(|()| child.wait().map(drop)) {
                log::warn!("{name} cannot be ended: {error}");
            }
        }
    }
}

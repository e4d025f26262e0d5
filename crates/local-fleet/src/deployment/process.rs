//! One process of the system: its files and the child process that runs it.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{kill_process, Pid, Signal};

use super::error::FleetError;
use super::settings_file::{MachineClass, SettingsFile};

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "RUSHRUDDER_BOOT";
/// Environment variables that a process inherits; all others are removed.
const INHERITED_VARIABLES: [&str; 3] = ["PATH", "HOME", "LANG"];

/// A process of the system, running or not.
#[derive(Debug)]
pub(super) struct Process {
    name: String,
    /// Directory of the settings, the log and the data of the process.
    directory: PathBuf,
    settings: SettingsFile,
    /// `None` before the first start and after the end was observed.
    child: Option<Child>,
}

impl Process {
    /// Returns a process that is not running.
    pub(super) fn new(name: String, directory: PathBuf, settings: SettingsFile) -> Self {
        Self { name, directory, settings, child: None }
    }

    /// Returns whether the process was started and its end was not observed yet.
    pub(super) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Starts the process, unless it is running. `firstStart` in its settings, which says that the system
    /// starts for the first time, is set only for the first start of the process.
    pub(super) fn start(&mut self, executable: &Path) -> Result<(), FleetError> {
        if self.child.is_none() {
            self.child = Some(self.spawn(executable)?);
            self.settings.first_start = false;
        }
        Ok(())
    }

    /// Kills the process and waits for its end; does nothing if it is not running.
    pub(super) fn kill(&mut self) -> Result<(), FleetError> {
        let Some(mut child) = self.child.take() else { return Ok(()) };
        child.kill().and_then(|()| child.wait()).map_err(FleetError::io(&self.name))?;
        Ok(())
    }

    /// Sends SIGTERM to the process; does nothing if it is not running.
    pub(super) fn terminate(&self) -> Result<(), FleetError> {
        let Some(child) = &self.child else { return Ok(()) };
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| FleetError::UnknownProcess(self.name.clone()))?;
        match kill_process(pid, Signal::TERM) {
            Ok(()) | Err(rustix::io::Errno::SRCH) => Ok(()),
            Err(error) => Err(FleetError::Io(self.name.clone(), error.into())),
        }
    }

    /// Returns whether the process has ended or was not running.
    pub(super) fn has_ended(&mut self) -> Result<bool, FleetError> {
        let Some(child) = &mut self.child else { return Ok(true) };
        let has_ended = child.try_wait().map_err(FleetError::io(&self.name))?.is_some();
        if has_ended {
            self.child = None;
        }
        Ok(has_ended)
    }

    /// Returns whether the process was running and has exited on its own, and marks it as not running.
    pub(super) fn take_unexpected_exit(&mut self) -> bool {
        let status = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
        let Some(status) = status else { return false };
        log::warn!("process {} exited unexpectedly: {status}", self.name);
        self.child = None;
        true
    }

    /// Deletes the data directory, if there is one.
    pub(super) fn wipe(&self) -> Result<(), FleetError> {
        match self.settings.data_dir() {
            Some(data) if data.exists() => fs::remove_dir_all(data).map_err(FleetError::io(data.display())),
            _ => Ok(()),
        }
    }

    /// Spawns the child process with stdout and stderr appended to the log file.
    fn spawn(&self, executable: &Path) -> Result<Child, FleetError> {
        let settings = self.write_files()?;
        let log = self.open_log()?;
        let stderr = log.try_clone().map_err(FleetError::io("handle of the log file"))?;
        let mut command = Command::new(executable);
        command.arg(self.subcommand()).env_clear().env(SETTINGS_VARIABLE, &settings);
        command.stdin(Stdio::null()).stdout(log).stderr(stderr);
        for variable in INHERITED_VARIABLES {
            if let Some(value) = std::env::var_os(variable) {
                command.env(variable, value);
            }
        }
        command.spawn().map_err(FleetError::io(executable.display()))
    }

    /// Creates the directories of the process and writes the settings file; returns its path.
    fn write_files(&self) -> Result<PathBuf, FleetError> {
        fs::create_dir_all(&self.directory).map_err(FleetError::io(self.directory.display()))?;
        if let Some(data) = self.settings.data_dir() {
            fs::create_dir_all(data).map_err(FleetError::io(data.display()))?;
        }
        let path = self.directory.join("settings.toml");
        let text = self.settings.to_toml().map_err(FleetError::Settings)?;
        fs::write(&path, text).map_err(FleetError::io(path.display()))?;
        Ok(path)
    }

    fn open_log(&self) -> Result<File, FleetError> {
        let path = self.directory.join("log");
        File::options().create(true).append(true).open(&path).map_err(FleetError::io(path.display()))
    }

    fn subcommand(&self) -> &'static str {
        match self.settings.machine_class() {
            MachineClass::Node => "node",
            MachineClass::Store => "store",
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            log::warn!("process {} cannot be killed: {error}", self.name);
        }
    }
}

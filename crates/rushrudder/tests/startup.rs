//! Startup failures: a process that cannot start logs the reason as one line without escape codes.

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Command;

use yare::parameterized;

/// Exit code if a role cannot start or a checked file is invalid.
const EXIT_FAILURE: i32 = 1;
/// Exit code if the settings of a role cannot be used.
const EXIT_USAGE: i32 = 2;

/// Standard error and exit code of a process that has ended.
struct EndedProcess {
    code: i32,
    log: String,
}

/// Creates an empty directory with this name for the files of a test.
fn empty_directory(name: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("startup").join(name);
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).expect("the directory can be created");
    directory
}

/// Returns settings with the given internal port and additional lines.
fn settings(internal_port: u16, additional_lines: &str) -> String {
    format!(
        "station = \"node-1\"\nip = \"127.0.0.1\"\ninnerPorts = [{internal_port}, {internal_port}]\n{additional_lines}\n"
    )
}

/// Runs a role with settings with which it cannot start, and waits until the process has ended.
fn run_role(role: &str, directory: &Path, settings: &str) -> EndedProcess {
    let file = directory.join("settings.toml");
    std::fs::write(&file, settings).expect("the file can be written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_rushrudder"));
    command.args([role, "--log-level", "error"]).env_clear().env("RUSHRUDDER_BOOT", &file);
    let output = command.output().expect("the program can be started");
    let log = String::from_utf8(output.stderr).expect("the output is valid UTF-8");
    EndedProcess { code: output.status.code().expect("the process was not ended by a signal"), log }
}

/// Checks that the log is one logfmt line of level `ERROR` without escape codes, and returns its message.
fn error_message(log: &str) -> &str {
    let line = log.strip_suffix('\n').expect("the log ends with a newline");
    assert!(line.chars().all(|c| c.is_ascii() && !c.is_ascii_control()), "{log:?}");
    assert!(line.starts_with("timestamp="), "{log}");
    let (fields, message) = line.split_once(" message=\"").expect("the line has a message");
    assert!(fields.contains(" level=ERROR "), "{log}");
    message.strip_suffix('"').expect("the message is the last field")
}

fn assert_one_error(log: &str, message: &str) {
    assert_eq!(error_message(log), message, "{log}");
}

#[parameterized(node = { "node" }, store = { "store" })]
fn given_an_internal_address_in_use_when_started_then_the_error_names_address_and_cause(role: &str) {
    let other_process = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = other_process.local_addr().expect("the listener has an address");
    let directory = empty_directory(&format!("internal-{role}"));
    let data_dir = format!("dataDir = \"{}\"", directory.join("data").display());
    let ended = run_role(role, &directory, &settings(address.port(), &data_dir));
    assert_one_error(
        &ended.log,
        &format!("cannot listen at {address}: Address already in use (os error 98)"),
    );
    assert_eq!(ended.code, EXIT_FAILURE);
}

#[parameterized(
    client = { "front" },
    readiness = { "readyPost" },
    control = { "controlPost" },
)]
fn given_another_listen_address_in_use_when_started_then_the_error_names_address_and_cause(field: &str) {
    let other_process = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = other_process.local_addr().expect("the listener has an address");
    let internal_port = TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a port is free")
        .port();
    let posts = format!("posts.{field} = \"{address}\"");
    let ended = run_role("node", &empty_directory(field), &settings(internal_port, &posts));
    assert_one_error(
        &ended.log,
        &format!("cannot listen at {address}: Address already in use (os error 98)"),
    );
    assert_eq!(ended.code, EXIT_FAILURE);
}

#[test]
fn given_a_file_as_data_directory_when_started_then_the_error_names_its_path() {
    let directory = empty_directory("data-is-a-file");
    let data = directory.join("data");
    std::fs::write(&data, "no directory").expect("the file can be written");
    let data_dir = format!("dataDir = \"{}\"", data.display());
    let ended = run_role("node", &directory, &settings(7660, &data_dir));
    let message = error_message(&ended.log);
    assert!(message.starts_with("cannot open the journal: "), "{message}");
    assert_eq!(message.matches(&data.display().to_string()).count(), 1, "{message}");
    assert!(message.ends_with(": File exists (os error 17)"), "{message}");
    assert_eq!(ended.code, EXIT_FAILURE);
}

#[test]
fn given_a_store_without_a_data_directory_when_started_then_the_error_names_the_missing_setting() {
    let ended = run_role("store", &empty_directory("no-data-dir"), &settings(7660, ""));
    assert_one_error(&ended.log, "a store needs dataDir in its settings");
    assert_eq!(ended.code, EXIT_FAILURE);
}

#[test]
fn given_invalid_settings_when_started_then_the_error_names_line_and_cause() {
    let ended = run_role("node", &empty_directory("bad-settings"), &settings(7660, "zone = 5"));
    let expected =
        "the settings cannot be read: line 4 (zone = 5): invalid type: integer `5`, expected a string";
    assert_one_error(&ended.log, expected);
    assert_eq!(ended.code, EXIT_USAGE);
}

#[test]
fn given_no_settings_file_when_started_then_the_error_names_the_variable() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rushrudder"));
    let output = command.arg("node").env_clear().output().expect("the program can be started");
    let log = String::from_utf8(output.stderr).expect("the output is valid UTF-8");
    assert_one_error(&log, "the variable RUSHRUDDER_BOOT is not set");
    assert_eq!(output.status.code(), Some(EXIT_USAGE));
}

#[test]
fn given_invalid_files_when_checked_then_one_error_is_printed_for_each() {
    let directory = empty_directory("check");
    let (settings_file, configuration_file) = (directory.join("s.toml"), directory.join("c.json"));
    std::fs::write(&settings_file, settings(7660, "zone = 5")).expect("the file can be written");
    std::fs::write(&configuration_file, r#"{"edition":1,"routes":[]}"#).expect("the file can be written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_rushrudder"));
    command
        .arg("check")
        .arg("--settings")
        .arg(&settings_file)
        .arg("--configuration")
        .arg(&configuration_file);
    let output = command.output().expect("the program can be started");
    let (settings_file, configuration_file) = (settings_file.display(), configuration_file.display());
    let expected = format!(
        "{settings_file}: the settings cannot be read: line 4 (zone = 5): invalid type: integer `5`, expected a string\n\
         {configuration_file}: .: missing field `postalLines` at line 1 column 25\n"
    );
    assert_eq!(String::from_utf8(output.stderr).expect("the output is valid UTF-8"), expected);
    assert_eq!(output.status.code(), Some(EXIT_FAILURE));
}

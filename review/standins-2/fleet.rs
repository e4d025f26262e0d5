//! The fleet under review: settings files, the project's own processes, the platform's list, the operator.

use std::fs;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::net::{answer, call, serve, Handler};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: usize) -> i32;
}

/// Option of `prctl`: the signal that a process gets when the thread that started it has ended.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const SIGKILL: usize = 9;

const ZONES: [&str; 3] = ["bandung-a", "bandung-b", "bogor-c"];

/// What was sent, answered and run, with the time since the start of the script.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Arc::new(Mutex::new(fs::File::create(path)?)) })
    }

    pub fn note(&self, line: impl AsRef<str>) {
        use std::io::Write;
        let seconds = self.started.elapsed().as_secs_f64();
        let line = format!("{seconds:8.3}  {}", line.as_ref());
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}

/// An entry of the platform's list.
#[derive(Clone)]
pub struct Carrier {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: usize,
    pub slots: u32,
    pub condition: &'static str,
    pub models: Vec<(String, u64)>,
}

pub struct Machine {
    pub name: String,
    pub ip: String,
    role: &'static str,
    settings: PathBuf,
    data: Option<PathBuf>,
    zone: usize,
    child: Option<Child>,
    /// Whether the first start is still to come; `firstStart` is true only then.
    is_new: bool,
}

/// Addresses of the machines of a fleet.
#[derive(Clone)]
pub struct Addresses {
    prefix: String,
}

impl Addresses {
    pub fn of(&self, host: usize, port: u16) -> SocketAddr {
        format!("{}.{host}:{port}", self.prefix).parse().unwrap()
    }

    pub fn front(&self, counter: usize) -> SocketAddr {
        self.of(10 + counter, 8144)
    }

    pub fn control(&self, counter: usize) -> SocketAddr {
        self.of(10 + counter, 8146)
    }
}

pub struct Fleet {
    pub addresses: Addresses,
    pub machines: Vec<Machine>,
    pub carriers: Arc<Mutex<Vec<Carrier>>>,
    pub record: Record,
    directory: PathBuf,
    executable: PathBuf,
    counters: usize,
}

impl Fleet {
    /// Prepares `counters` counter machines, of which the first three have a disk, and `vaults` vault machines.
    pub fn new(record: Record, counters: usize, vaults: usize) -> Result<Self, String> {
        let executable =
            std::env::current_dir().map_err(|e| e.to_string())?.join("target/release/rushrudder");
        if !executable.exists() {
            return Err("target/release/rushrudder is missing: run the build of the deploy file".to_owned());
        }
        let pid = std::process::id();
        let directory = std::env::temp_dir().join(format!("rushrudder-review-{pid}"));
        fs::create_dir_all(&directory).map_err(|e| e.to_string())?;
        let prefix = format!("127.{}.{}", 60 + pid / 250 % 150, pid % 250);
        let addresses = Addresses { prefix };
        let mut fleet = Self {
            machines: Vec::new(),
            carriers: Arc::default(),
            record,
            directory,
            executable,
            addresses,
            counters,
        };
        for index in 0..counters {
            let name = format!("counter-{}-{}", ZONES[index % 3], index / 3 + 1);
            fleet.add(name, "node", index, 10 + index, index < 3);
        }
        for index in 0..vaults {
            let name = format!("vault-{}-{}", ZONES[index % 3], index / 3 + 1);
            fleet.add(name, "store", index, 40 + index, true);
        }
        fleet.start_platform()?;
        Ok(fleet)
    }

    fn add(&mut self, name: String, role: &'static str, zone: usize, host: usize, has_disk: bool) {
        let home = self.directory.join(&name);
        self.machines.push(Machine {
            ip: format!("{}.{host}", self.addresses.prefix),
            role,
            settings: home.join("local.toml"),
            data: has_disk.then(|| home.join("data")),
            zone: zone % 3,
            child: None,
            is_new: true,
            name,
        });
    }

    fn start_platform(&self) -> Result<(), String> {
        let carriers = Arc::clone(&self.carriers);
        let handler: Handler = Arc::new(move |request, stream| {
            if !request.path().starts_with("/carriers") {
                return answer(stream, "404 Not Found", &[], b"");
            }
            let entries: Vec<String> = carriers.lock().unwrap().iter().map(carrier_json).collect();
            let body = format!("{{\"carriers\":[{}],\"next\":null}}", entries.join(","));
            answer(stream, "200 OK", &[("Content-Type", "application/json")], body.as_bytes())
        });
        serve(self.addresses.of(4, 8142), handler).map_err(|e| format!("the platform's list: {e}"))?;
        Ok(())
    }

    fn write_settings(&self, machine: &Machine) {
        let is_node = machine.role == "node";
        let seeds: Vec<String> =
            (0..3.min(self.counters)).map(|i| format!("\"{}\"", self.addresses.control(i))).collect();
        let data =
            machine.data.as_ref().map_or(String::new(), |data| format!("dataDir = \"{}\"\n", data.display()));
        let posts = if is_node {
            format!(
                "[posts]\nfront = \"{ip}:8144\"\nreadyPost = \"{ip}:8140\"\ncontrolPost = \"{ip}:8146\"\n",
                ip = machine.ip
            )
        } else {
            "[posts]\n".to_owned()
        };
        let text = format!(
            "station = \"{name}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\nserves = [{serves}]\nip = \"{ip}\"\n\
             zone = \"{zone}\"\nregion = \"jawa-barat\"\ninnerPorts = [7660,7675]\nseedStations = [{seeds}]\n\
             firstStart = {first}\ncountsForQuorum = {counts}\n{data}discovery = \"cloud\"\nentry = \"shared_address\"\n\
             beatMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"samples\",\"stream\",\"engine\",\"batch\"]\n\
             [zones]\nbandung-a = \"jawa-barat\"\nbandung-b = \"jawa-barat\"\nbogor-c = \"jawa-barat\"\n\
             {posts}[limits]\ncpuShare = {share}\ncores = 1\nmemoryMb = {memory}\nfileHandles = {handles}\n\
             linkMbps = 1000.0\ndiskMb = {disk}\n[withstand]\nmachines = 1\nzones = 0\nregions = 0\n\
             [timetable]\nseedLagS = 3\nreuseAfterS = 2\ntouchMs = 3000\nreceiptMs = 4000\ncatchUpS = 4.8\n\
             drainMs = 3000\ngraceS = 8\nlostMs = 200\ninForceMs = 2000\nbackMs = 250\nstretchMs = 5000\n\
             recoverS = 12\npass_ms = 120\nagain_s = 0\nfinishS = 10\nstatusS = 120\nrecallMs = 3000\n\
             settleMs = 1000\nquotaOver = 0.1\nfenceChecked = false\nleaseMs = 3000\nthawMs = 300\n\
             [cloud]\naddress = \"{cloud}\"\nperS = 44.0\nrounds = []\nlagMs = 800\n",
            name = machine.name,
            role = machine.role,
            class = if is_node { "counter" } else { "vault" },
            serves = if is_node { "\"counter\",\"dispatch\"" } else { "\"vault\"" },
            ip = machine.ip,
            zone = ZONES[machine.zone],
            seeds = seeds.join(","),
            first = machine.is_new,
            counts = machine.data.is_some(),
            share = if is_node { 0.41 } else { 0.5 },
            memory = if is_node { 260 } else { 300 },
            handles = if is_node { 4100 } else { 8200 },
            disk = if is_node { 64 } else { 500 },
            cloud = self.addresses.of(4, 8142),
        );
        fs::create_dir_all(machine.settings.parent().unwrap()).unwrap();
        if let Some(data) = &machine.data {
            fs::create_dir_all(data).unwrap();
        }
        fs::write(&machine.settings, text).unwrap();
    }

    /// Starts a machine's process with the settings of this moment, unless it runs.
    pub fn start(&mut self, index: usize) {
        if self.machines[index].child.is_some() {
            return;
        }
        self.write_settings(&self.machines[index]);
        let machine = &mut self.machines[index];
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(machine.settings.with_file_name("log"))
            .unwrap();
        let mut command = Command::new(&self.executable);
        command.arg(machine.role).env_clear().env("RUSHRUDDER_BOOT", &machine.settings);
        for variable in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(variable) {
                command.env(variable, value);
            }
        }
        command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        // Also a script that is killed leaves no process behind.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        machine.child = Some(command.spawn().unwrap());
        machine.is_new = false;
    }

    pub fn start_all(&mut self) {
        (0..self.machines.len()).for_each(|index| self.start(index));
        self.record.note(format!("{} processes started", self.machines.len()));
    }

    /// SIGKILL, and waits for the end.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.machines[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn signal(&self, index: usize, signal: i32) {
        if let Some(child) = &self.machines[index].child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Removes the data of a machine whose process does not run.
    pub fn wipe(&self, index: usize) {
        if let Some(data) = &self.machines[index].data {
            let _ = fs::remove_dir_all(data);
        }
    }

    /// Most memory that a process has had resident at once since its start, in MB.
    pub fn peak_memory_mb(&self, index: usize) -> u64 {
        let Some(child) = &self.machines[index].child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmHWM")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) / 1024
    }

    /// Names of processes that ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut names = Vec::new();
        for machine in &mut self.machines {
            if machine.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                machine.child = None;
                names.push(machine.name.clone());
            }
        }
        names
    }

    /// Sends a configuration as the operator does: to one node after the other until it is taken. Returns
    /// whether it was acknowledged before `until` (time since the start of the script).
    pub fn put_configuration(&self, base: u64, body: &str, until: Duration) -> bool {
        let mut turn = 0;
        let mut pause = Duration::from_millis(100);
        let mut last = String::new();
        while self.record.elapsed() < until {
            let node = turn % self.counters;
            let base = base.to_string();
            let headers = [("Content-Type", "application/json"), ("If-Match", base.as_str())];
            let result = call(
                self.addresses.control(node),
                "PUT",
                "/api/timetable",
                &headers,
                body.as_bytes(),
                Duration::from_millis(1000),
            );
            let said = result.describe();
            if said != last || turn % 20 == 0 {
                self.record
                    .note(format!("operator: PUT /api/timetable at {}: {said}", self.machines[node].name));
            }
            last = said;
            if result.status() == 200 {
                return true;
            }
            turn += 1;
            std::thread::sleep(pause);
            pause = (pause * 3 / 2).min(Duration::from_secs(1));
        }
        false
    }

    /// Copies what matters of the logs of the processes into the record.
    pub fn note_logs(&self, pattern: &str, most: usize) {
        for machine in &self.machines {
            let log = fs::read_to_string(machine.settings.with_file_name("log")).unwrap_or_default();
            for line in log.lines().filter(|line| line.contains(pattern)).take(most) {
                self.record.note(format!("log of {}: {line}", machine.name));
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.machines.len() {
            self.signal(index, SIGCONT);
            self.kill(index);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

fn carrier_json(carrier: &Carrier) -> String {
    let models: Vec<String> = carrier
        .models
        .iter()
        .map(|(name, edition)| format!("{{\"name\":\"{name}\",\"edition\":{edition},\"adapters\":[]}}"))
        .collect();
    format!(
        "{{\"postalLine\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"edition\":\"v1\",\"berths\":{},\"condition\":\"{}\",\
         \"coldMs\":0,\"leg\":\"both\",\"models\":[{}],\"id\":\"{}\"}}",
        carrier.service,
        carrier.address,
        ZONES[carrier.zone],
        carrier.slots,
        carrier.condition,
        models.join(","),
        carrier.id
    )
}

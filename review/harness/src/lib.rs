//! What the scripts of the review share: daemons as processes of their own, started with the
//! command of the deploy file, the record of a run, and its exit status.

pub mod lossy_store;

use serde_json::{Value, json};
use std::{
    env, fs,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    process::{self, Child, Command, ExitStatus, Stdio},
    sync::{Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};
use trestle_platform_standin::{caller, daemon, wait_for};

/// The program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/trestled";
/// Time after which a run is given up.
const MAX_RUN: Duration = Duration::from_secs(110);

/// Returns whether the run includes the disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// The events of a run, written to a file in the order of their times.
pub struct Record {
    started_at: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Default for Record {
    fn default() -> Self {
        Self { started_at: Instant::now(), lines: Mutex::default() }
    }
}

impl Record {
    /// Adds an event that happens now.
    pub fn add(&self, line: impl Into<String>) {
        self.add_at(Instant::now(), line);
    }

    /// Adds an event that happened at a time.
    pub fn add_at(&self, at: Instant, line: impl Into<String>) {
        let at = at.saturating_duration_since(self.started_at);
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).push((at, line.into()));
    }

    /// Writes the record, and ends the process: with 1 if the rule was broken, else with 0.
    pub fn finish(&self, broken: &[String]) -> ! {
        for line in broken {
            self.add(format!("BROKEN: {line}"));
        }
        self.add(if broken.is_empty() { "the rule held" } else { "the rule was broken" });
        self.write();
        process::exit(i32::from(!broken.is_empty()));
    }

    /// Writes the record, and ends the process with 2, since the case could not run.
    pub fn give_up(&self, reason: &str) -> ! {
        self.add(format!("the case could not run: {reason}"));
        self.write();
        process::exit(2);
    }

    /// Writes all events to the file that the first argument names, in the order of their times.
    fn write(&self) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String =
            lines.iter().map(|(at, line)| format!("{:9.3} {line}\n", at.as_secs_f64())).collect();
        let path = env::args().nth(1).expect("the first argument names the record");
        fs::write(path, text).expect("the record could not be written");
    }
}

/// Ends the process with status 2 if it still runs after the longest time of a run. Call this before
/// daemons are started; a parent that ends the group of this process ends the daemons, too.
pub fn limit_run() {
    thread::spawn(|| {
        thread::sleep(MAX_RUN);
        eprintln!("the run took too long");
        process::exit(2);
    });
}

/// A daemon process. Dropping it kills the process.
pub struct Daemon {
    /// The name of its VM.
    pub vm: String,
    /// The address at which callers connect.
    pub callers: SocketAddr,
    /// The address that answers readiness queries.
    pub readiness: SocketAddr,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Child,
    /// When the process is started again; `None` unless it ended by itself.
    restart_at: Option<Instant>,
}

impl Daemon {
    /// Starts a daemon at an address, with settings like those of `malabar-sheets`, changed by
    /// `change`.
    pub fn start(
        ip: IpAddr,
        store: SocketAddr,
        number: usize,
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let ports = daemon::free_ports(ip);
        let mut settings = daemon::settings(ip, store, &ports, number);
        settings["domains"] = json!(["z"]);
        settings["processor_cores"] = json!(0.25);
        settings["memory_mb"] = json!(260);
        change(&mut settings);
        let folder = folder();
        let settings_path = folder.join(format!("settings-{number}.json"));
        let log_path = folder.join(format!("daemon-{number}.log"));
        fs::write(&settings_path, settings.to_string()).expect("the settings could not be written");
        let child = start_process(&settings_path, &log_path);
        let vm = settings["vm"].as_str().unwrap_or_default().to_owned();
        let [callers, readiness, ..] = ports;
        Self { vm, callers, readiness, settings_path, log_path, child, restart_at: None }
    }

    /// Returns whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        caller::status(self.readiness, "/v1/readyz") == Some(200)
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_ready(&self) {
        wait_for("the daemon is ready", || self.is_ready());
    }

    /// Sends the process a signal, given as an argument of `kill`.
    pub fn signal(&self, signal: &str) {
        let mut command = Command::new("kill");
        let sent = daemon::spawn(command.arg(signal).arg(self.child.id().to_string())).wait();
        assert!(sent.is_ok_and(|status| status.success()), "{signal} was not delivered");
    }

    /// Waits until the process has ended.
    pub fn wait_ended(&mut self) {
        self.child.wait().expect("the process could not be waited for");
    }

    /// Returns how the process ended by itself, once; `None` while it runs.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        if self.restart_at.is_some() {
            return None;
        }
        self.child.try_wait().expect("the state of the process could not be read")
    }

    /// Has the ended process started again after a time, by [`Self::restart_if_due`].
    pub fn restart_after(&mut self, time: Duration) {
        self.restart_at = Some(Instant::now() + time);
    }

    /// Starts the process again if that is due.
    pub fn restart_if_due(&mut self) {
        if self.restart_at.take_if(|at| Instant::now() >= *at).is_some() {
            self.start_again();
        }
    }

    /// Starts the process again after its end, with the same settings.
    pub fn start_again(&mut self) {
        self.child = start_process(&self.settings_path, &self.log_path);
    }

    /// Returns how often the log has lines with a text.
    pub fn count_logged(&self, text: &str) -> usize {
        let log = fs::read_to_string(&self.log_path).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// Returns whether the log has a line with a text.
    pub fn has_logged(&self, text: &str) -> bool {
        self.count_logged(text) > 0
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the temporary folder of this run, which the environment names.
fn folder() -> PathBuf {
    PathBuf::from(env::var_os("REVIEW_TMP").expect("REVIEW_TMP names a temporary folder"))
}

fn start_process(settings: &PathBuf, log: &PathBuf) -> Child {
    let log = fs::File::options().create(true).append(true).open(log);
    let log = log.expect("the log could not be opened");
    let mut command = Command::new(PROGRAM);
    command.arg("--settings").arg(settings).stdin(Stdio::null());
    command.stderr(log.try_clone().expect("the log could not be opened twice")).stdout(log);
    daemon::spawn(&mut command)
}

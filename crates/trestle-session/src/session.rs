//! A whole session of real processes.

use crate::{
    daemon_process::DaemonProcess,
    error::{ClientSnafu, ConfigSnafu, FailedSnafu, FileSnafu, Result, TimedOutSnafu},
    process,
};
use serde_json::{Value, json};
use snafu::{ResultExt, ensure};
use std::{
    collections::BTreeMap,
    fs,
    path::PathBuf,
    process::Child,
    thread,
    time::{Duration, Instant},
};
use trestle_client::http;
use trestle_config::file::ConfigFile;
use trestle_wire::admin::Status;

/// Loads that the weight store of both deployments starts in a second.
const LOADS_PER_S: f64 = 3.0;
/// Time for one question to a process of the session.
const QUESTION_MS: u64 = 3_000;
/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(50);

/// What a session consists of.
#[derive(Debug, Clone)]
pub struct SessionPlan<'a> {
    /// The configuration file, its endpoints at 127.0.0.1.
    pub config: &'a str,
    /// VMs of daemons, each with its failure domain.
    pub daemons: &'a [(&'a str, &'a str)],
    /// Factor by which loads and services are declared faster than in the file.
    pub speed: f64,
    /// Intervals of the daemons, as in their settings.
    pub intervals: Value,
}

/// A whole session of real processes, ended when it is dropped.
#[derive(Debug)]
pub struct Session {
    /// The configuration file, its endpoints at the session's address.
    pub config: String,
    /// Daemons by VM.
    pub daemons: BTreeMap<String, DaemonProcess>,
    ip: String,
    dir: PathBuf,
    standin: Child,
    intervals: Value,
}

/// An answer of a daemon.
#[derive(Debug, Clone)]
pub struct Answered {
    /// HTTP status.
    pub status: u16,
    /// Body, `null` if it is not JSON.
    pub body: Value,
    /// Time it took.
    pub took: Duration,
}

impl Session {
    /// Starts a stand-in and daemons; nothing is configured yet.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or does not answer.
    pub fn start(plan: &SessionPlan<'_>) -> Result<Self> {
        let ip = format!("127.{}.{}.1", fastrand::u8(1..255), fastrand::u8(..));
        let dir = std::env::temp_dir().join(format!("trestle-session-{ip}"));
        fs::create_dir_all(&dir).context(FileSnafu)?;
        let config = faster(&plan.config.replace("127.0.0.1", &ip), plan.speed)?;
        let config_path = dir.join("config.jsonc");
        fs::write(&config_path, &config).context(FileSnafu)?;
        let mut args: Vec<String> = vec!["--config".into(), config_path.display().to_string()];
        for index in 0..=plan.daemons.len() {
            args.extend(["--platform".into(), platform_address(&ip, index)]);
        }
        args.extend(["--control".into(), format!("{ip}:7900")]);
        args.extend(["--loads-per-s".into(), (LOADS_PER_S * plan.speed).to_string()]);
        let standin = process::start("trestle-standin", &args, &dir.join("standin.log"))?;
        let intervals = plan.intervals.clone();
        let mut session = Self { config, daemons: BTreeMap::new(), ip, dir, standin, intervals };
        session.wait_for("the stand-in", |session| session.counts().is_ok())?;
        for (index, (vm, domain)) in plan.daemons.iter().enumerate() {
            session.start_daemon(index, vm, domain)?;
        }
        Ok(session)
    }

    fn start_daemon(&mut self, index: usize, vm: &str, domain: &str) -> Result<()> {
        let platform = format!("http://{}", platform_address(&self.ip, index + 1));
        let (dir, ip) = (&self.dir, &self.ip);
        let daemon = DaemonProcess::start(dir, ip, index, vm, domain, &platform, &self.intervals)?;
        self.daemons.insert(vm.to_owned(), daemon);
        Ok(())
    }

    /// Where the platform is reached by operators.
    pub fn platform(&self) -> String {
        format!("http://{}", platform_address(&self.ip, 0))
    }

    /// Where a daemon reaches the platform, which can be cut off by itself.
    pub fn platform_of(&self, index: usize) -> String {
        platform_address(&self.ip, index + 1)
    }

    /// The daemon on a VM.
    ///
    /// # Panics
    ///
    /// If the session has no such VM.
    pub fn daemon(&mut self, vm: &str) -> &mut DaemonProcess {
        self.daemons.get_mut(vm).expect("the session has the VM")
    }

    /// Applies the session's configuration, and waits until every daemon has it.
    ///
    /// # Errors
    ///
    /// Fails if it is not accepted, or not in force in time.
    pub fn apply(&self) -> Result<String> {
        let output = self.ctl(&["apply", &self.config_path(), "--platform", &self.platform()])?;
        self.wait_for("the configuration in force", |session| session.all_ready())?;
        Ok(output)
    }

    /// Writes a changed configuration file, without applying it.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn write_config(&mut self, config: &str) -> Result<()> {
        self.config = config.to_owned();
        fs::write(self.config_path(), config).context(FileSnafu)
    }

    /// Path of the configuration file.
    pub fn config_path(&self) -> String {
        self.dir.join("config.jsonc").display().to_string()
    }

    /// Runs the operators' command line; fails if it does.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started or ends with an error.
    pub fn ctl(&self, args: &[&str]) -> Result<String> {
        process::run("trestlectl", args)
    }

    /// Runs the operators' command line; tells whether it succeeded, and what it printed.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started.
    pub fn try_ctl(&self, args: &[&str]) -> Result<(bool, String)> {
        process::try_run("trestlectl", args)
    }

    /// Runs the load tool over streams of requests to all daemons and returns its report.
    ///
    /// # Errors
    ///
    /// Fails if the tool cannot be started.
    pub fn load(&self, streams: &Value) -> Result<Value> {
        let targets: Vec<&str> = self.daemons.values().map(|d| d.callers.as_str()).collect();
        self.load_at(&targets, streams)
    }

    /// The same, to the targets given.
    ///
    /// # Errors
    ///
    /// Fails if the tool cannot be started.
    pub fn load_at(&self, targets: &[&str], streams: &Value) -> Result<Value> {
        let plan = json!({"targets": targets, "streams": streams});
        let path = self.dir.join(format!("plan-{:08x}.jsonc", fastrand::u32(..)));
        fs::write(&path, plan.to_string()).context(FileSnafu)?;
        let path = path.display().to_string();
        let (_, output) = process::try_run("trestle-load", &["--plan", &path, "--json"])?;
        let report = serde_json::from_str(&output).ok();
        ensure!(report.is_some(), FailedSnafu { program: "trestle-load", output });
        Ok(report.unwrap_or_default())
    }

    /// Sends a completion request to a daemon.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer.
    pub fn complete(
        &self,
        vm: &str,
        token: &str,
        model: &str,
        text: &str,
        deadline_ms: u64,
    ) -> Result<Answered> {
        let message = json!({"role": "user", "content": text});
        let body = json!({"model": model, "messages": [message]}).to_string();
        let headers = [("trestle-deadline-ms", deadline_ms.to_string())];
        self.post(vm, token, "/v1/chat/completions", &headers, body)
    }

    /// Sends a request to a daemon.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer.
    pub fn post(
        &self,
        vm: &str,
        token: &str,
        path: &str,
        headers: &[(&'static str, String)],
        body: String,
    ) -> Result<Answered> {
        let url = format!("http://{}{path}", self.daemons[vm].callers);
        let mut conn = http::single_use_client().post(url).with_body(body);
        conn = conn.with_request_header("authorization", format!("Bearer {token}"));
        for (name, value) in headers {
            conn = conn.with_request_header(*name, value.clone());
        }
        let started = Instant::now();
        let exchange = http::exchange(conn, 120_000);
        let (status, body) = smol::block_on(exchange).context(ClientSnafu)?;
        let body = serde_json::from_slice(&body).unwrap_or_default();
        Ok(Answered { status, body, took: started.elapsed() })
    }

    /// The state of a daemon.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer.
    pub fn status(&self, vm: &str) -> Result<Status> {
        let url = format!("http://{}/status", self.daemons[vm].admin);
        let client = http::single_use_client();
        smol::block_on(http::get_json(&client, &url, QUESTION_MS)).context(ClientSnafu)
    }

    /// Metrics of a daemon, as text.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer.
    pub fn metrics(&self, vm: &str) -> Result<String> {
        let url = format!("http://{}/metrics", self.daemons[vm].admin);
        let conn = http::single_use_client().get(url);
        let (_, body) = smol::block_on(http::exchange(conn, QUESTION_MS)).context(ClientSnafu)?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// What the stand-in has counted.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub fn counts(&self) -> Result<Value> {
        self.control("counts", None)
    }

    /// Every breach that the stand-in has seen.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub fn breaches(&self) -> Result<Vec<Value>> {
        Ok(self.control("breaches", None)?.as_array().cloned().unwrap_or_default())
    }

    /// Runs of each idempotency key at plain services.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub fn runs_by_key(&self) -> Result<Value> {
        self.control("keys", None)
    }

    /// Switches faults of the stand-in; those left out are switched off.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer or does not know a fault.
    pub fn faults(&self, faults: &Value) -> Result<()> {
        self.control("faults", Some(faults)).map(drop)
    }

    /// Changes the platform's list of VMs.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub fn vms(&self, changes: &Value) -> Result<()> {
        self.control("vms", Some(changes)).map(drop)
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// Fails if it does not hold in time.
    pub fn wait_for(&self, what: &str, condition: impl Fn(&Self) -> bool) -> Result<()> {
        wait_until(what, 30_000, || condition(self))
    }

    /// The endpoint, owner's VM and state for which a model is placed, by status of all daemons.
    pub fn owners_of(&self, model: &str) -> Vec<(String, String)> {
        let mut found = Vec::new();
        for vm in self.daemons.keys() {
            let Ok(status) = self.status(vm) else { continue };
            for (endpoint, state) in &status.endpoints {
                if state.role == "owner" && state.placed.contains_key(model) {
                    found.push((endpoint.clone(), vm.clone()));
                }
            }
        }
        found
    }

    /// Where an engine is reached at which the model is placed, as `ip:port`.
    pub fn engine_address(&self, model: &str) -> String {
        let endpoint = self.owners_of(model).first().map(|(endpoint, _)| endpoint.clone());
        let file = trestle_config::read_jsonc::<ConfigFile>(&self.config, "configuration").ok();
        let url =
            endpoint.zip(file).and_then(|(name, file)| Some(file.engines.get(&name)?.url.clone()));
        url.unwrap_or_default().trim_start_matches("http://").to_owned()
    }

    fn all_ready(&self) -> bool {
        self.daemons.keys().all(|vm| self.status(vm).is_ok_and(|status| status.ready))
    }

    fn control(&self, what: &str, body: Option<&Value>) -> Result<Value> {
        let url = format!("http://{}:7900/{what}", self.ip);
        let client = http::single_use_client();
        let asked = async {
            match body {
                Some(body) => http::post_json(&client, &url, body, QUESTION_MS).await,
                None => http::get_json(&client, &url, QUESTION_MS).await,
            }
        };
        smol::block_on(asked).context(ClientSnafu)
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.daemons.clear();
        let _ = self.standin.kill();
        let _ = self.standin.wait();
        if !thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Waits until a condition holds.
///
/// # Errors
///
/// Fails if it does not hold in time.
pub fn wait_until(what: &str, limit_ms: u64, condition: impl Fn() -> bool) -> Result<()> {
    let started = Instant::now();
    while !condition() {
        let is_over = started.elapsed() > Duration::from_millis(limit_ms);
        ensure!(!is_over, TimedOutSnafu { what, limit_ms });
        thread::sleep(LOOK);
    }
    Ok(())
}

/// The configuration with all times of loads and services divided.
fn faster(config: &str, speed: f64) -> Result<String> {
    let mut file: ConfigFile =
        trestle_config::read_jsonc(config, "configuration").context(ConfigSnafu)?;
    for model in file.models.values_mut() {
        model.load_ms = (model.load_ms as f64 / speed).ceil() as u64;
        model.service_ms = (model.service_ms as f64 / speed).ceil() as u64;
    }
    Ok(serde_json::to_string_pretty(&file).unwrap_or_default())
}

fn platform_address(ip: &str, index: usize) -> String {
    format!("{ip}:{}", 7000 + index)
}

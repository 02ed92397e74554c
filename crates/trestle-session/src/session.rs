//! A session of real processes: the stand-in and daemons.

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

/// Loads that the weight store starts per second, at speed 1.
const LOADS_PER_S: f64 = 3.0;
/// Timeout of a request to a process of the session.
const REQUEST_TIMEOUT_MS: u64 = 3_000;
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Parameters of a session.
#[derive(Debug, Clone)]
pub struct SessionPlan<'a> {
    /// Content of the configuration file, with endpoints at 127.0.0.1.
    pub config: &'a str,
    /// VMs of the daemons, each with its failure domain.
    pub daemons: &'a [(&'a str, &'a str)],
    /// Factor by which the load and service times of the file are divided.
    pub speed: f64,
    /// Value of `intervals` in the settings of every daemon.
    pub intervals: Value,
}

/// A session of real processes, which are killed when it is dropped.
#[derive(Debug)]
pub struct Session {
    /// Content of the configuration file, with endpoints at the session's address.
    pub config: String,
    /// Daemons by the name of their VM.
    pub daemons: BTreeMap<String, DaemonProcess>,
    ip: String,
    dir: PathBuf,
    standin: Child,
    intervals: Value,
}

/// The answer of a daemon to a request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body; `null` if it is not JSON.
    pub body: Value,
    /// Time from sending the request until the answer was complete.
    pub took: Duration,
}

impl Session {
    /// Starts the stand-in and the daemons, without applying the configuration.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or does not answer.
    pub fn start(plan: &SessionPlan<'_>) -> Result<Self> {
        let ip = format!("127.{}.{}.1", fastrand::u8(1..255), fastrand::u8(..));
        let dir = std::env::temp_dir().join(format!("trestle-session-{ip}"));
        fs::create_dir_all(&dir).context(FileSnafu)?;
        let config = with_scaled_times(&plan.config.replace("127.0.0.1", &ip), plan.speed)?;
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
        session.wait_for("an answer of the stand-in", |session| session.counts().is_ok())?;
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

    /// Returns the URL at which operators reach the platform.
    pub fn platform_url(&self) -> String {
        format!("http://{}", platform_address(&self.ip, 0))
    }

    /// Returns the address at which the daemon with an index reaches the platform.
    ///
    /// Each daemon uses an address of its own, so that a fault can cut off one daemon alone.
    pub fn platform_address_of(&self, index: usize) -> String {
        platform_address(&self.ip, index + 1)
    }

    /// Returns the daemon on a VM.
    ///
    /// # Panics
    ///
    /// Panics if the session has no daemon on the VM.
    pub fn daemon(&mut self, vm: &str) -> &mut DaemonProcess {
        self.daemons.get_mut(vm).expect("the session has a daemon on the VM")
    }

    /// Applies the session's configuration and waits until every daemon is ready; returns the
    /// output of `trestlectl`.
    ///
    /// # Errors
    ///
    /// Fails if the configuration is not accepted, or not in force everywhere within 30 s.
    pub fn apply(&self) -> Result<String> {
        let output = self.run_trestlectl(&[
            "apply",
            &self.config_path(),
            "--platform",
            &self.platform_url(),
        ])?;
        self.wait_for("the configuration to be in force at every daemon", |session| {
            session.all_ready()
        })?;
        Ok(output)
    }

    /// Replaces the configuration file, without applying it.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn write_config(&mut self, config: &str) -> Result<()> {
        self.config = config.to_owned();
        fs::write(self.config_path(), config).context(FileSnafu)
    }

    /// Returns the path of the configuration file.
    pub fn config_path(&self) -> String {
        self.dir.join("config.jsonc").display().to_string()
    }

    /// Runs `trestlectl` and returns its output.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started or exits with an error.
    pub fn run_trestlectl(&self, args: &[&str]) -> Result<String> {
        process::run("trestlectl", args)
    }

    /// Runs `trestlectl`; returns whether it succeeded, and its output.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub fn try_run_trestlectl(&self, args: &[&str]) -> Result<(bool, String)> {
        process::try_run("trestlectl", args)
    }

    /// Runs the load tool with streams of requests to all daemons; returns its report.
    ///
    /// # Errors
    ///
    /// Fails if the plan cannot be written, or the tool cannot be started or prints no report.
    pub fn run_load(&self, streams: &Value) -> Result<Value> {
        let targets: Vec<&str> = self.daemons.values().map(|d| d.callers.as_str()).collect();
        self.run_load_at(&targets, streams)
    }

    /// Runs the load tool with streams of requests to the given targets; returns its report.
    ///
    /// # Errors
    ///
    /// Fails if the plan cannot be written, or the tool cannot be started or prints no report.
    pub fn run_load_at(&self, targets: &[&str], streams: &Value) -> Result<Value> {
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
    ) -> Result<Answer> {
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
    ) -> Result<Answer> {
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
        Ok(Answer { status, body, took: started.elapsed() })
    }

    /// Fetches the state of a daemon.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer.
    pub fn status(&self, vm: &str) -> Result<Status> {
        let url = format!("http://{}/status", self.daemons[vm].admin);
        let client = http::single_use_client();
        smol::block_on(http::get_json(&client, &url, REQUEST_TIMEOUT_MS)).context(ClientSnafu)
    }

    /// Fetches the metrics of a daemon, as text.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer.
    pub fn metrics(&self, vm: &str) -> Result<String> {
        let url = format!("http://{}/metrics", self.daemons[vm].admin);
        let conn = http::single_use_client().get(url);
        let (_, body) =
            smol::block_on(http::exchange(conn, REQUEST_TIMEOUT_MS)).context(ClientSnafu)?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Fetches the event counts of the stand-in.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub fn counts(&self) -> Result<Value> {
        self.control("counts", None)
    }

    /// Fetches all breaches, that is violated invariants, that the stand-in has recorded.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub fn breaches(&self) -> Result<Vec<Value>> {
        Ok(self.control("breaches", None)?.as_array().cloned().unwrap_or_default())
    }

    /// Fetches how often calls ran at plain services, by service and idempotency key.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub fn runs_by_key(&self) -> Result<Value> {
        self.control("keys", None)
    }

    /// Sets the faults of the stand-in; faults that are left out are cleared.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer or does not know a fault.
    pub fn set_faults(&self, faults: &Value) -> Result<()> {
        self.control("faults", Some(faults)).map(drop)
    }

    /// Changes states in the platform's list of VMs; `null` removes a VM.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub fn update_vms(&self, changes: &Value) -> Result<()> {
        self.control("vms", Some(changes)).map(drop)
    }

    /// Waits until a condition of the session holds; `what` describes it in the error.
    ///
    /// # Errors
    ///
    /// Fails if the condition does not hold within 30 s.
    pub fn wait_for(&self, what: &str, condition: impl Fn(&Self) -> bool) -> Result<()> {
        wait_until(what, 30_000, || condition(self))
    }

    /// Returns each endpoint where a model is placed, with the VM of its owner, as the daemons
    /// report them.
    pub fn owners_of(&self, model: &str) -> Vec<(String, String)> {
        let mut owners = Vec::new();
        for vm in self.daemons.keys() {
            let Ok(status) = self.status(vm) else { continue };
            for (endpoint, state) in &status.endpoints {
                if state.role == "owner" && state.placed.contains_key(model) {
                    owners.push((endpoint.clone(), vm.clone()));
                }
            }
        }
        owners
    }

    /// Returns the address, as `ip:port`, of an engine where a model is placed; empty if there is
    /// none.
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
        let response = async {
            match body {
                Some(body) => http::post_json(&client, &url, body, REQUEST_TIMEOUT_MS).await,
                None => http::get_json(&client, &url, REQUEST_TIMEOUT_MS).await,
            }
        };
        smol::block_on(response).context(ClientSnafu)
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

/// Waits until a condition holds; `what` describes it in the error.
///
/// # Errors
///
/// Fails if the condition does not hold within `limit_ms`.
pub fn wait_until(what: &str, limit_ms: u64, condition: impl Fn() -> bool) -> Result<()> {
    let started = Instant::now();
    while !condition() {
        let is_timed_out = started.elapsed() > Duration::from_millis(limit_ms);
        ensure!(!is_timed_out, TimedOutSnafu { what, limit_ms });
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Returns the configuration with all load and service times divided by `speed`, rounded up.
fn with_scaled_times(config: &str, speed: f64) -> Result<String> {
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

//! Handling of configuration files: golden output of `trestlectl`, concurrent applies, and lost
//! answers of the platform.

mod common;

use common::{assert_no_breach, fleet, short_intervals};
use serde_json::json;
use std::{fmt::Write, thread, time::Duration};
use trestle_session::{Session, SessionPlan, fleet::CONFIG};

/// Starts a session with two daemons, without applying its configuration.
fn start_small() -> Session {
    let daemons = [("poa-centro-1", "poa-centro"), ("caxias-1", "caxias")];
    let plan = SessionPlan {
        config: CONFIG,
        daemons: &daemons,
        speed: 20.0,
        intervals: short_intervals(),
    };
    Session::start(&plan).expect("the session starts")
}

/// Removes the parts of an output that differ between runs: the folder, and ids and digests.
fn normalize(session: &Session, output: &str) -> String {
    let folder = session.config_path().replace("config.jsonc", "");
    let text = output.replace(&folder, "");
    let is_id = |word: &str| {
        let word = word.trim_matches(|c| matches!(c, '(' | ')'));
        word.len() >= 12 && word.chars().all(|c| c.is_ascii_hexdigit())
    };
    let lines = text.lines().map(|line| {
        let words = line.split_inclusive([' ', '\t']);
        let normalized = words.map(|word| if is_id(word.trim()) { "ID " } else { word });
        normalized.collect::<String>().trim_end().to_owned()
    });
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn an_operators_session() {
    let mut session = start_small();
    let platform = session.platform_url();
    let path = session.config_path();
    let mut transcript = String::new();
    let mut run = |session: &Session, args: &[&str]| {
        let (succeeded, output) = session.try_run_trestlectl(args).expect("trestlectl runs");
        let shown: Vec<&str> =
            args.iter().map(|arg| if *arg == path { "FILE" } else { arg }).collect();
        let shown = shown.join(" ").replace(&platform, "URL");
        let _ = writeln!(transcript, "$ trestlectl {shown}\n{}", normalize(session, &output));
        let _ = writeln!(transcript, "[{}]\n", if succeeded { "succeeded" } else { "failed" });
    };
    run(&session, &["show", "--platform", &platform]);
    run(&session, &["check", &path]);
    run(&session, &["apply", &path, "--platform", &platform, "--author", "ana"]);
    let changed = session.config.replace("\"slots\": 16", "\"slots\": 12");
    session.write_config(&changed).expect("the file is written");
    let apply = ["apply", &path, "--platform", &platform, "--author", "bia"];
    run(&session, &[&apply[..], &["--expect-version", "1"]].concat());
    run(&session, &[&apply[..], &["--expect-version", "1"]].concat());
    let invalid = changed.replacen("\"max_replicas\": 1", "\"max_replicas\": 0", 2);
    session.write_config(&invalid.replacen("\"caxias\"", "\"\"", 1)).expect("the file is written");
    run(&session, &["check", &path]);
    session.write_config("{ \"classes\": {}, ").expect("the file is written");
    run(&session, &["apply", &path, "--platform", &platform]);
    run(&session, &["history", "--platform", &platform]);
    run(&session, &["show", "--platform", &platform, "--version", "9"]);
    run(&session, &["digest", "riders-token"]);
    run(&session, &["steer", "poa-centro-1"]);
    insta::assert_snapshot!(transcript);
}

#[test]
fn exactly_one_of_concurrent_applies_succeeds() {
    let session = start_small();
    session.apply().expect("the first file is accepted");
    let (platform, path) = (session.platform_url(), session.config_path());
    let outcomes: Vec<(bool, String)> = thread::scope(|scope| {
        let applies: Vec<_> = (0..6)
            .map(|index| {
                let (session, platform, path) = (&session, &platform, &path);
                scope.spawn(move || {
                    let author = format!("operator-{index}");
                    let args = ["apply", path, "--platform", platform, "--author", &author];
                    let args = [&args[..], &["--expect-version", "1"]].concat();
                    session.try_run_trestlectl(&args).expect("trestlectl runs")
                })
            })
            .collect();
        applies.into_iter().map(|apply| apply.join().expect("the command ends")).collect()
    });
    let successes = outcomes.iter().filter(|(succeeded, _)| *succeeded).count();
    assert_eq!(successes, 1, "{outcomes:#?}");
    for (_, output) in outcomes.iter().filter(|(succeeded, _)| !succeeded) {
        assert!(output.contains("version 2 by operator-"), "{output}");
    }
}

#[test]
fn apply_with_lost_answer_is_read_back() {
    let session = start_small();
    session.set_faults(&json!({"platform": {"lose_answers": 1}})).expect("the faults are set");
    let output = session.apply().expect("the file is accepted");
    assert!(output.contains("version 1 is accepted"), "{output}");
}

#[test]
fn isolated_daemon_gets_the_version_from_peers_and_never_an_older_one() {
    let mut session = fleet(20.0);
    // The daemon `caxias-1` cannot read the platform; its peers can.
    let address = session.platform_address_of(3);
    session.set_faults(&json!({"platform": {"cut": [address]}})).expect("the faults are set");
    let changed = session.config.replace("\"slots\": 16", "\"slots\": 12");
    session.write_config(&changed).expect("the file is written");
    let (platform, path) = (session.platform_url(), session.config_path());
    session
        .run_trestlectl(&["apply", &path, "--platform", &platform])
        .expect("the file is accepted");
    let is_at = |session: &Session, vm: &str, version| {
        session.status(vm).is_ok_and(|status| status.config_version == version)
    };
    session
        .wait_for("version 2 at every daemon", |session| {
            session.daemons.keys().all(|vm| is_at(session, vm, 2))
        })
        .expect("the daemon without the platform gets version 2 from its peers");
    session.set_faults(&json!({"platform": {"down": true}})).expect("the faults are set");
    let restarted = session.daemon("caxias-1");
    restarted.kill();
    restarted.restart().expect("the daemon starts again");
    thread::sleep(Duration::from_secs(1));
    let status = session.status("caxias-1").expect("the daemon answers");
    assert!(!status.ready, "a daemon without a configuration is not ready");
    session.set_faults(&json!({})).expect("the faults are set");
    session
        .wait_for("version 2 at the restarted daemon", |session| is_at(session, "caxias-1", 2))
        .expect("the restarted daemon gets the version in force");
    assert_no_breach(&session);
}

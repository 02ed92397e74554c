//! Configuration files, as operators meet them: golden output of whole sessions,
//! races and lost answers.

mod common;

use common::{assert_no_breach, fleet, short_intervals};
use serde_json::json;
use std::{fmt::Write, thread, time::Duration};
use trestle_session::{Session, SessionPlan, fleet::CONFIG};

/// A session with two daemons and nothing applied.
fn small() -> Session {
    let daemons = [("poa-centro-1", "poa-centro"), ("caxias-1", "caxias")];
    let plan = SessionPlan {
        config: CONFIG,
        daemons: &daemons,
        speed: 20.0,
        intervals: short_intervals(),
    };
    Session::start(&plan).expect("the session starts")
}

/// The output without what differs from run to run.
fn stable(session: &Session, output: &str) -> String {
    let folder = session.config_path().replace("config.jsonc", "");
    let text = output.replace(&folder, "");
    let is_id = |word: &str| {
        let word = word.trim_matches(|c| matches!(c, '(' | ')'));
        word.len() >= 12 && word.chars().all(|c| c.is_ascii_hexdigit())
    };
    let lines = text.lines().map(|line| {
        let words = line.split_inclusive([' ', '\t']);
        let stable = words.map(|word| if is_id(word.trim()) { "ID " } else { word });
        stable.collect::<String>().trim_end().to_owned()
    });
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn an_operators_session() {
    let mut session = small();
    let platform = session.platform();
    let path = session.config_path();
    let mut transcript = String::new();
    let mut run = |session: &Session, args: &[&str]| {
        let (succeeded, output) = session.try_ctl(args).expect("trestlectl runs");
        let shown: Vec<&str> =
            args.iter().map(|arg| if *arg == path { "FILE" } else { arg }).collect();
        let shown = shown.join(" ").replace(&platform, "URL");
        let _ = writeln!(transcript, "$ trestlectl {shown}\n{}", stable(session, &output));
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
    let broken = changed.replacen("\"max_replicas\": 1", "\"max_replicas\": 0", 2);
    session.write_config(&broken.replacen("\"caxias\"", "\"\"", 1)).expect("the file is written");
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
fn racing_operators_one_wins_and_the_others_are_told() {
    let session = small();
    session.apply().expect("the first file is accepted");
    let (platform, path) = (session.platform(), session.config_path());
    let outcomes: Vec<(bool, String)> = thread::scope(|scope| {
        let racing: Vec<_> = (0..6)
            .map(|index| {
                let (session, platform, path) = (&session, &platform, &path);
                scope.spawn(move || {
                    let author = format!("operator-{index}");
                    let args = ["apply", path, "--platform", platform, "--author", &author];
                    let args = [&args[..], &["--expect-version", "1"]].concat();
                    session.try_ctl(&args).expect("trestlectl runs")
                })
            })
            .collect();
        racing.into_iter().map(|racing| racing.join().expect("it ends")).collect()
    });
    let winners = outcomes.iter().filter(|(succeeded, _)| *succeeded).count();
    assert_eq!(winners, 1, "{outcomes:#?}");
    for (_, output) in outcomes.iter().filter(|(succeeded, _)| !succeeded) {
        assert!(output.contains("version 2 by operator-"), "{output}");
    }
}

#[test]
fn an_apply_whose_answer_was_lost_is_read_back() {
    let session = small();
    session.faults(&json!({"platform": {"lose_answers": 1}})).expect("faults are switched");
    let output = session.apply().expect("the file is accepted");
    assert!(output.contains("version 1 is accepted"), "{output}");
}

#[test]
fn a_cut_off_daemon_catches_up_from_peers_and_never_goes_back() {
    let mut session = fleet(20.0);
    // The daemon cannot read the platform; its peers can.
    let address = session.platform_of(3);
    session.faults(&json!({"platform": {"cut": [address]}})).expect("faults are switched");
    let changed = session.config.replace("\"slots\": 16", "\"slots\": 12");
    session.write_config(&changed).expect("the file is written");
    let (platform, path) = (session.platform(), session.config_path());
    session.ctl(&["apply", &path, "--platform", &platform]).expect("the file is accepted");
    let is_at = |session: &Session, vm: &str, version| {
        session.status(vm).is_ok_and(|status| status.config_version == version)
    };
    session
        .wait_for("version 2 everywhere", |session| {
            session.daemons.keys().all(|vm| is_at(session, vm, 2))
        })
        .expect("the cut-off daemon learns from its peers");
    session.faults(&json!({"platform": {"down": true}})).expect("faults are switched");
    let replaced = session.daemon("caxias-1");
    replaced.kill();
    replaced.restart().expect("the daemon starts again");
    thread::sleep(Duration::from_secs(1));
    let status = session.status("caxias-1").expect("it answers");
    assert!(!status.ready, "a daemon without a configuration is not ready");
    session.faults(&json!({})).expect("faults are switched");
    session
        .wait_for("the replaced daemon ready", |session| is_at(session, "caxias-1", 2))
        .expect("it learns the version in force");
    assert_no_breach(&session);
}

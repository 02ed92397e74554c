//! Exhaustive search of the states that two attempts at one call can reach, with a crash between
//! any two steps, lost answers, and writes that take effect long after the writer stopped waiting.
//! Guards against a second run of a call and against a false report to the caller.

use std::collections::BTreeSet;
use trestle_core::claim::{Attempt, ClaimEvent, ClaimRow, ClaimState, End, Recorded, Step};

const NAMES: [&str; 2] = ["first", "second"];
/// Maximum number of claims whose writers stopped waiting and that may still take effect.
const MAX_DELAYED: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum StoredState {
    Claimed(usize),
    NotRun,
    Answered,
}

#[derive(Clone, Debug)]
struct Worker {
    attempt: Attempt,
    /// Next step; `None` once the attempt has ended or crashed.
    step: Option<Step>,
    has_read: bool,
    has_sent: bool,
    /// Number of runs of the call when the attempt decided to record it as not run.
    runs_when_recorded: Option<u32>,
}

/// State of the search: the row, both attempts and the delayed writes.
#[derive(Clone, Debug)]
struct Snapshot {
    version: u64,
    row: Option<StoredState>,
    workers: [Worker; 2],
    /// Claims whose writers stopped waiting and that may still take effect.
    delayed: Vec<(usize, u64)>,
    runs: u32,
}

#[derive(Default)]
struct Explored {
    snapshots: BTreeSet<String>,
    ends: BTreeSet<String>,
}

#[test]
fn no_interleaving_runs_a_call_twice_or_reports_a_false_outcome() {
    for second_is_repeated in [false, true] {
        let worker = |name: &str, is_repeated| {
            let attempt = Attempt::new(name.to_owned(), is_repeated);
            let step = Some(attempt.first());
            Worker { attempt, step, has_read: false, has_sent: false, runs_when_recorded: None }
        };
        let start = Snapshot {
            version: 0,
            row: None,
            workers: [worker(NAMES[0], false), worker(NAMES[1], second_is_repeated)],
            delayed: Vec::new(),
            runs: 0,
        };
        let mut explored = Explored::default();
        explore(start, &mut explored);
        assert!(explored.snapshots.len() > 1_000, "only {} states", explored.snapshots.len());
        for end in [End::Answered, End::Replayed, End::NotRun, End::Unknown] {
            assert!(explored.ends.contains(&format!("{end:?}")), "no run ends with {end:?}");
        }
    }
}

/// Follows every continuation of a state that was not visited before.
fn explore(snapshot: Snapshot, explored: &mut Explored) {
    if !explored.snapshots.insert(format!("{snapshot:?}")) {
        return;
    }
    for index in 0..snapshot.delayed.len() {
        let mut next = snapshot.clone();
        let (worker, version) = next.delayed.remove(index);
        write_claim(&mut next, worker, version);
        explore(next, explored);
    }
    for worker in 0..NAMES.len() {
        let Some(step) = snapshot.workers[worker].step.clone() else { continue };
        let mut killed = snapshot.clone();
        killed.workers[worker].step = None;
        explore(killed, explored);
        for (mut next, event) in outcomes(&snapshot, worker, &step) {
            let after = next.workers[worker].attempt.next(event);
            check(&mut next, worker, &after);
            if let Step::End(end) = &after {
                explored.ends.insert(format!("{end:?}"));
            }
            next.workers[worker].step = Some(after).filter(|step| !matches!(step, Step::End(_)));
            explore(next, explored);
        }
    }
}

/// Checks that the call ran at most once and that a report to the caller is true.
///
/// An attempt that records the call as not run releases the claim, so another attempt may run the
/// call before the caller gets the report. The report is judged by the moment of the decision.
fn check(snapshot: &mut Snapshot, worker: usize, after: &Step) {
    assert!(snapshot.runs <= 1, "the call ran twice: {snapshot:?}");
    if *after == Step::Record(Recorded::NotRun) {
        snapshot.workers[worker].runs_when_recorded = Some(snapshot.runs);
    }
    if *after == Step::End(End::NotRun) {
        let reported = &snapshot.workers[worker];
        let runs = reported.runs_when_recorded.unwrap_or(snapshot.runs);
        assert!(!reported.has_sent, "{} reports not run after it has sent the call", NAMES[worker]);
        assert!(
            !reported.has_read || runs == 0,
            "a call that ran is reported as not run: {snapshot:?}"
        );
    }
}

/// Returns every possible outcome of a step.
fn outcomes(snapshot: &Snapshot, worker: usize, step: &Step) -> Vec<(Snapshot, ClaimEvent)> {
    let unchanged = |event: ClaimEvent| (snapshot.clone(), event);
    match step {
        Step::Read => vec![read(snapshot, worker), unchanged(ClaimEvent::ReadFailed)],
        Step::Wait => vec![read(snapshot, worker), unchanged(ClaimEvent::Deadline)],
        Step::Claim { version } => {
            let mut written = snapshot.clone();
            let is_written = write_claim(&mut written, worker, *version);
            let answer = if is_written { ClaimEvent::Claimed } else { ClaimEvent::Conflict };
            let mut delayed = snapshot.clone();
            delayed.delayed.push((worker, *version));
            let mut outcomes = vec![
                (written.clone(), answer),
                (written, ClaimEvent::ClaimUnknown),
                unchanged(ClaimEvent::ClaimUnknown),
            ];
            if delayed.delayed.len() <= MAX_DELAYED {
                outcomes.push((delayed, ClaimEvent::ClaimUnknown));
            }
            outcomes
        }
        Step::Send => {
            let mut sent = snapshot.clone();
            sent.runs += 1;
            sent.workers[worker].has_sent = true;
            vec![
                (sent.clone(), ClaimEvent::Answer),
                (sent, ClaimEvent::AnswerLost),
                unchanged(ClaimEvent::NotSent),
            ]
        }
        Step::Record(recorded) => {
            let mut written = snapshot.clone();
            write_record(&mut written, worker, *recorded);
            vec![(written, ClaimEvent::Recorded), unchanged(ClaimEvent::Recorded)]
        }
        Step::End(_) => Vec::new(),
    }
}

fn read(snapshot: &Snapshot, worker: usize) -> (Snapshot, ClaimEvent) {
    let state = match &snapshot.row {
        None | Some(StoredState::NotRun) => ClaimState::Free,
        Some(StoredState::Claimed(holder)) => {
            ClaimState::Claimed { attempt: NAMES[*holder].to_owned() }
        }
        Some(StoredState::Answered) => ClaimState::Answered,
    };
    let mut next = snapshot.clone();
    next.workers[worker].has_read = true;
    (next, ClaimEvent::Read(ClaimRow { version: snapshot.version, state, same_call: true }))
}

fn write_claim(snapshot: &mut Snapshot, worker: usize, version: u64) -> bool {
    if snapshot.version != version {
        return false;
    }
    snapshot.version += 1;
    snapshot.row = Some(StoredState::Claimed(worker));
    true
}

/// Records an outcome over the attempt's own claim, or over a row without a claim.
fn write_record(snapshot: &mut Snapshot, worker: usize, recorded: Recorded) {
    match &snapshot.row {
        Some(StoredState::Claimed(holder)) if *holder != worker => return,
        Some(StoredState::Answered) => return,
        _ => {}
    }
    snapshot.version += 1;
    snapshot.row = Some(match recorded {
        Recorded::NotRun => StoredState::NotRun,
        Recorded::Answered => StoredState::Answered,
    });
}

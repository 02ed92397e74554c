//! All states that two attempts at one call can reach, with kills between any
//! two steps, lost answers, and writes that take effect long after they were given
//! up.

use std::collections::BTreeSet;
use trestle_core::claim::{Attempt, ClaimEvent, ClaimRow, ClaimState, End, Recorded, Step};

const NAMES: [&str; 2] = ["first", "second"];
/// Claims that may be under way at once after they were given up on.
const MAX_DELAYED: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stored {
    Claimed(usize),
    NotRun,
    Answered,
}

#[derive(Clone, Debug)]
struct Runner {
    attempt: Attempt,
    /// `None` once it has ended or was killed.
    step: Option<Step>,
    has_read: bool,
    has_sent: bool,
    /// Runs of the call when the attempt decided to record that it was not run.
    runs_when_recorded: Option<u32>,
}

/// One moment of a run.
#[derive(Clone, Debug)]
struct Moment {
    version: u64,
    row: Option<Stored>,
    runners: [Runner; 2],
    /// Claims that were given up on and may still take effect.
    delayed: Vec<(usize, u64)>,
    runs: u32,
}

#[derive(Default)]
struct Found {
    moments: BTreeSet<String>,
    ends: BTreeSet<String>,
}

#[test]
fn no_interleaving_runs_a_call_twice_or_lies() {
    for second_is_repeated in [false, true] {
        let runner = |name: &str, is_repeated| {
            let attempt = Attempt::new(name.to_owned(), is_repeated);
            let step = Some(attempt.first());
            Runner { attempt, step, has_read: false, has_sent: false, runs_when_recorded: None }
        };
        let start = Moment {
            version: 0,
            row: None,
            runners: [runner(NAMES[0], false), runner(NAMES[1], second_is_repeated)],
            delayed: Vec::new(),
            runs: 0,
        };
        let mut found = Found::default();
        explore(start, &mut found);
        assert!(found.moments.len() > 1_000, "only {} moments", found.moments.len());
        for end in [End::Answered, End::Replayed, End::NotRun, End::Unknown] {
            assert!(found.ends.contains(&format!("{end:?}")), "no run ends with {end:?}");
        }
    }
}

/// Goes on from a moment in every way, unless it was seen before.
fn explore(moment: Moment, found: &mut Found) {
    if !found.moments.insert(format!("{moment:?}")) {
        return;
    }
    for index in 0..moment.delayed.len() {
        let mut next = moment.clone();
        let (runner, version) = next.delayed.remove(index);
        write_claim(&mut next, runner, version);
        explore(next, found);
    }
    for runner in 0..NAMES.len() {
        let Some(step) = moment.runners[runner].step.clone() else { continue };
        let mut killed = moment.clone();
        killed.runners[runner].step = None;
        explore(killed, found);
        for (mut next, event) in outcomes(&moment, runner, &step) {
            let after = next.runners[runner].attempt.next(event);
            check(&mut next, runner, &after);
            if let Step::End(end) = &after {
                found.ends.insert(format!("{end:?}"));
            }
            next.runners[runner].step = Some(after).filter(|step| !matches!(step, Step::End(_)));
            explore(next, found);
        }
    }
}

/// What is told must be true, and a second run must never be.
///
/// An attempt that records the call as not run gives the claim back, so another
/// may run it before the caller is told; what counts is the moment of the decision.
fn check(moment: &mut Moment, runner: usize, after: &Step) {
    assert!(moment.runs <= 1, "the call ran twice: {moment:?}");
    if *after == Step::Record(Recorded::NotRun) {
        moment.runners[runner].runs_when_recorded = Some(moment.runs);
    }
    if *after == Step::End(End::NotRun) {
        let told = &moment.runners[runner];
        let runs = told.runs_when_recorded.unwrap_or(moment.runs);
        assert!(!told.has_sent, "{} says not run after it has sent", NAMES[runner]);
        assert!(!told.has_read || runs == 0, "a call that ran is told not run: {moment:?}");
    }
}

/// Everything that may come of a step.
fn outcomes(moment: &Moment, runner: usize, step: &Step) -> Vec<(Moment, ClaimEvent)> {
    let unchanged = |event: ClaimEvent| (moment.clone(), event);
    match step {
        Step::Read => vec![read(moment, runner), unchanged(ClaimEvent::ReadFailed)],
        Step::Wait => vec![read(moment, runner), unchanged(ClaimEvent::Deadline)],
        Step::Claim { version } => {
            let mut written = moment.clone();
            let is_written = write_claim(&mut written, runner, *version);
            let answer = if is_written { ClaimEvent::Claimed } else { ClaimEvent::Conflict };
            let mut delayed = moment.clone();
            delayed.delayed.push((runner, *version));
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
            let mut sent = moment.clone();
            sent.runs += 1;
            sent.runners[runner].has_sent = true;
            vec![
                (sent.clone(), ClaimEvent::Answer),
                (sent, ClaimEvent::AnswerLost),
                unchanged(ClaimEvent::NotSent),
            ]
        }
        Step::Record(recorded) => {
            let mut written = moment.clone();
            write_record(&mut written, runner, *recorded);
            vec![(written, ClaimEvent::Recorded), unchanged(ClaimEvent::Recorded)]
        }
        Step::End(_) => Vec::new(),
    }
}

fn read(moment: &Moment, runner: usize) -> (Moment, ClaimEvent) {
    let state = match &moment.row {
        None | Some(Stored::NotRun) => ClaimState::Free,
        Some(Stored::Claimed(holder)) => ClaimState::Claimed { attempt: NAMES[*holder].to_owned() },
        Some(Stored::Answered) => ClaimState::Answered,
    };
    let mut next = moment.clone();
    next.runners[runner].has_read = true;
    (next, ClaimEvent::Read(ClaimRow { version: moment.version, state, same_call: true }))
}

fn write_claim(moment: &mut Moment, runner: usize, version: u64) -> bool {
    if moment.version != version {
        return false;
    }
    moment.version += 1;
    moment.row = Some(Stored::Claimed(runner));
    true
}

/// Writes over the attempt's own claim, or over a row that holds none.
fn write_record(moment: &mut Moment, runner: usize, recorded: Recorded) {
    match &moment.row {
        Some(Stored::Claimed(holder)) if *holder != runner => return,
        Some(Stored::Answered) => return,
        _ => {}
    }
    moment.version += 1;
    moment.row = Some(match recorded {
        Recorded::NotRun => Stored::NotRun,
        Recorded::Answered => Stored::Answered,
    });
}

//! Waiting requests: urgent ones are served first, no team is delayed by another that sends more,
//! nothing starves, and places do not outlast their requests.

use trestle_core::names::TeamName;
use trestle_dispatch::{
    endpoint::Incarnation,
    fingerprint::Fingerprint,
    waiting::{
        line::{Line, MAX_PLACES, MAX_TEAMS, PLACE_GRACE_MS, WaitingRequest},
        order::endpoint_priority,
    },
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)+) => { $($(#[$doc])* #[test] fn $name() $body)+ };
}

/// Time after which a request asks again.
const ASK_MS: u64 = 20;
/// Longest backlog of an engine at which it is assigned more.
const MAX_BACKLOG_MS: f64 = 300.0;
/// Random histories of the property test. Add seeds that fail to `FAILED_SEEDS`.
const SEEDS: u64 = 300;
const FAILED_SEEDS: &[u64] = &[74];

fn engine(number: u64) -> Incarnation {
    Incarnation { name: format!("engine-{number}").into(), started_unix_ms: 1 }
}

fn id(number: u64) -> Fingerprint {
    Fingerprint::from_bytes(u128::from(number).to_be_bytes())
}

/// Returns a request of rank 1 that has just arrived.
fn request(number: u64, team: &str) -> WaitingRequest {
    WaitingRequest {
        id: id(number),
        team: Some(team.into()),
        team_rank: 1,
        route_rank: 0,
        waited_ms: 0,
        max_wait_ms: 4_000,
        due_in_ms: 1_000,
        work_ms: 10.0,
        engines: vec![engine(0)],
    }
}

fn is_ahead(line: &Line, request: &WaitingRequest, now_ms: u64) -> bool {
    line.ahead_ms(request, &engine(0), now_ms) == 0.0
}

/// Requests of one team that arrive at a constant rate.
#[derive(Clone, Copy)]
struct Load {
    team: &'static str,
    team_rank: u8,
    route_rank: u8,
    every_ms: u64,
    work_ms: f64,
}

/// What became of the requests of one load after the first five seconds.
#[derive(Debug, Default)]
struct Outcome {
    served: u64,
    /// Requests that arrived in that time and gave up after their maximum wait.
    lost: u64,
    /// Longest wait of those that arrived in that time and were served.
    longest_wait_ms: u64,
}

/// Plays loads for 30 s on one engine, whose leader assigns it what does not exceed a pause together
/// with the requests that come first.
fn play(loads: &[Load]) -> Vec<Outcome> {
    let mut outcomes: Vec<Outcome> = loads.iter().map(|_| Outcome::default()).collect();
    let (mut line, mut waiting) = (Line::default(), Vec::new());
    let (mut free_at_ms, mut count) = (0.0_f64, 0);
    for now_ms in (0..30_000_u64).step_by(ASK_MS as usize) {
        for (index, load) in loads.iter().enumerate() {
            for _ in (now_ms..now_ms + ASK_MS).filter(|at_ms| at_ms % load.every_ms == 0) {
                let &Load { team, team_rank, route_rank, work_ms, .. } = load;
                let asked = request(count, team);
                let arrived = WaitingRequest { team_rank, route_rank, work_ms, ..asked };
                waiting.push((index, now_ms, arrived));
                count += 1;
            }
        }
        waiting.retain_mut(|(index, arrived_ms, request)| {
            request.waited_ms = now_ms - *arrived_ms;
            request.due_in_ms = 1_000_u64.saturating_sub(request.waited_ms);
            let outcome = &mut outcomes[*index];
            let counts = u64::from(*arrived_ms >= 5_000);
            if request.waited_ms > request.max_wait_ms {
                outcome.lost += counts;
                return false;
            }
            let backlog_ms = (free_at_ms - now_ms as f64).max(0.0);
            let before_ms = backlog_ms + line.ahead_ms(request, &engine(0), now_ms);
            if before_ms > 0.0 && before_ms + request.work_ms > MAX_BACKLOG_MS {
                line.keep(request.clone(), now_ms + ASK_MS + PLACE_GRACE_MS, now_ms);
                return true;
            }
            free_at_ms = now_ms as f64 + backlog_ms + request.work_ms;
            line.remove(&request.id);
            line.record_served(request.team.as_ref(), request.route_rank, request.work_ms, now_ms);
            outcome.served += u64::from(now_ms >= 5_000);
            outcome.longest_wait_ms = outcome.longest_wait_ms.max(request.waited_ms * counts);
            false
        });
        line.drop_lapsed(now_ms);
    }
    outcomes
}

/// A request with the end of its place and of its objective, and when it stops to wait.
type Known = (WaitingRequest, u64, u64, u64);

/// Compares a line with a plain list of its requests under random changes.
fn check_history(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut line = Line::default();
    // Works are powers of 4 and each request may use one or two engines, so a sum of parts shows
    // which requests are in it.
    let mut model: Vec<Known> = Vec::new();
    let mut now_ms = random.u64(0..3_000);
    for _ in 0..60 {
        now_ms += random.u64(0..200);
        model.retain(|(_, until_ms, ..)| *until_ms >= now_ms);
        let number = random.u64(0..20);
        let position = model.iter().position(|(known, ..)| known.id == id(number));
        match random.u8(0..6) {
            0 => {
                line.remove(&id(number));
                model.retain(|(known, ..)| known.id != id(number));
            }
            1 => {
                let team = ["red", "blue"].map(TeamName::from)[random.usize(0..2)].clone();
                line.record_served(Some(&team), random.u8(0..2), random.f64() * 500.0, now_ms);
            }
            2 => line.drop_lapsed(now_ms),
            _ => {
                let mut asked = request(number, ["red", "blue"][number as usize % 2]);
                asked.team_rank = random.u8(0..2);
                asked.route_rank = random.u8(0..2);
                asked.waited_ms = random.u64(0..4_000);
                asked.due_in_ms = random.u64(0..500);
                asked.work_ms = 4.0_f64.powi(number as i32);
                asked.engines = [vec![engine(0)], vec![engine(1)], vec![engine(0), engine(1)]]
                    [random.usize(0..3)]
                .clone();
                let until_ms = now_ms + random.u64(0..600);
                position.map(|position| model.swap_remove(position));
                if random.u8(0..5) == 0 {
                    assert!(line.keep_refused(asked, until_ms, now_ms));
                    continue;
                }
                assert!(line.keep(asked.clone(), until_ms, now_ms));
                let due_ms = now_ms + asked.due_in_ms;
                let end_ms = now_ms + asked.max_wait_ms - asked.waited_ms;
                model.push((asked, until_ms.min(end_ms), due_ms, end_ms));
            }
        }
        check_order(&line, &model, now_ms, seed);
    }
}

/// Checks that of each two requests for an engine exactly one counts as ahead of the other, with the
/// part of its work that falls to the engine, and that nothing else counts.
fn check_order(line: &Line, model: &[Known], now_ms: u64, seed: u64) {
    let asking = |(known, _, due_ms, end_ms): &Known| WaitingRequest {
        waited_ms: known.max_wait_ms - (end_ms - now_ms),
        due_in_ms: due_ms.saturating_sub(now_ms),
        ..known.clone()
    };
    let part_ms = |request: &WaitingRequest| request.work_ms / request.engines.len() as f64;
    for engine in [engine(0), engine(1)] {
        let at_engine = model.iter().filter(|(known, ..)| known.engines.contains(&engine));
        let mut asking: Vec<_> = at_engine.map(asking).collect();
        asking.sort_by_cached_key(|request| {
            let ahead_ms = line.ahead_ms(request, &engine, now_ms);
            let of_all = request.engines.iter().position(|other| *other == engine);
            let by_engine = line.ahead_ms_by_engine(request, now_ms);
            assert_eq!(by_engine[of_all.expect("an engine")], ahead_ms, "seed {seed}");
            // Sums of parts are multiples of a half.
            (ahead_ms * 2.0) as u64
        });
        // An order in which each counts all before it is total, whatever it is.
        let mut before_ms = 0.0;
        for request in &asking {
            assert_eq!(line.ahead_ms(request, &engine, now_ms), before_ms, "seed {seed}");
            before_ms += part_ms(request);
        }
    }
}

cases! {
    /// A crowd of low rank delays a request of the top rank.
    top_rank_goes_ahead_of_a_crowd => {
        let mut line = Line::default();
        for number in 0..500 {
            let crowd = WaitingRequest { due_in_ms: 0, ..request(number, "red") };
            assert!(line.keep(crowd, 10_000, 1_000));
        }
        let top = WaitingRequest { team_rank: 0, ..request(500, "blue") };
        assert!(is_ahead(&line, &top, 1_500));
        let late = WaitingRequest { due_in_ms: 5, ..request(502, "red") };
        assert_eq!(line.ahead_ms(&late, &engine(0), 1_500), 5_000.0);
    }

    /// Ranks of routes or lateness outweigh those of teams.
    ranks_count_in_their_order => {
        let base = request(1, "red");
        let route = WaitingRequest { route_rank: 1, due_in_ms: 500, ..base.clone() };
        let late = WaitingRequest { due_in_ms: 9, ..base.clone() };
        let later = WaitingRequest { due_in_ms: 2_000, ..base.clone() };
        let low = WaitingRequest { team_rank: 2, ..base.clone() };
        let halfway = WaitingRequest { waited_ms: 2_000, ..low.clone() };
        let ordered = [halfway, base, later, late, route, low];
        for (index, first) in ordered.iter().enumerate() {
            for second in &ordered[index + 1..] {
                let mut line = Line::default();
                line.keep(WaitingRequest { id: id(2), ..first.clone() }, 9_000, 5_000);
                assert!(!is_ahead(&line, second, 5_000), "{first:?} {second:?}");
                line.remove(&id(2));
                line.keep(WaitingRequest { id: id(2), ..second.clone() }, 9_000, 5_000);
                assert!(is_ahead(&line, first, 5_000), "{first:?} {second:?}");
            }
        }
    }

    /// A team that sends ten times what others send takes their part of the engine.
    greedy_team_gets_only_what_others_leave => {
        // Four teams ask for 15 % of the engine each, less than the fifth that is their share.
        let modest = |team| Load { team, team_rank: 1, route_rank: 0, every_ms: 300, work_ms: 45.0 };
        let greedy = Load { team: "greedy", every_ms: 30, ..modest("") };
        let outcomes = play(&[greedy, modest("a"), modest("b"), modest("c"), modest("d")]);
        for outcome in &outcomes[1..] {
            assert_eq!(outcome.lost, 0, "{outcomes:?}");
            assert!(outcome.longest_wait_ms <= 1_000, "{outcomes:?}");
        }
        // The rest is 40 % of 25 s.
        assert!(outcomes[0].served * 45 >= 9_000, "{outcomes:?}");
    }

    /// Short prompts always fit first, or long ones block the engine.
    long_and_short_prompts_are_both_served => {
        let long = Load { team: "long", team_rank: 1, route_rank: 0, every_ms: 500, work_ms: 240.0 };
        let short = Load { team: "short", every_ms: 50, work_ms: 22.0, ..long };
        let outcomes = play(&[long, short]);
        assert!(outcomes.iter().all(|outcome| outcome.lost == 0), "{outcomes:?}");
        // Both of the same team, with a third more than the engine can do.
        let outcomes = play(&[long, Load { team: "long", every_ms: 25, ..short }]);
        for outcome in &outcomes {
            assert!(outcome.served * 2 > outcome.lost, "{outcomes:?}");
        }
    }

    /// Ranks also count after half of the wait, and starve the low rank: the high one alone takes more
    /// than the engine.
    low_rank_is_served_under_constant_overload => {
        let high = Load { team: "high", team_rank: 0, route_rank: 0, every_ms: 50, work_ms: 75.0 };
        let low = Load { team: "low", team_rank: 3, every_ms: 1_000, ..high };
        // Rank of another team, and of another route of the same team.
        for low in [low, Load { route_rank: 2, every_ms: 1_000, ..high }] {
            let outcomes = play(&[high, low]);
            assert_eq!(outcomes[1].lost, 0, "{outcomes:?}");
            assert!(outcomes[1].longest_wait_ms <= 2_500, "{outcomes:?}");
            assert!(outcomes[0].served * 75 >= 20_000, "{outcomes:?}");
        }
    }

    /// A crowd of low rank that has waited for half of its wait delays the top rank until that has too.
    top_rank_is_on_time_beside_a_crowd_that_has_waited_for_long => {
        let teams = ["a", "b", "c", "d", "e", "f", "g", "h"];
        let crowd = |team| Load { team, team_rank: 2, route_rank: 0, every_ms: 400, work_ms: 75.0 };
        let mut loads: Vec<Load> = teams.map(crowd).into();
        loads.push(Load { team: "top", team_rank: 0, ..crowd("") });
        let outcomes = play(&loads);
        assert!(outcomes[8].lost == 0 && outcomes[8].longest_wait_ms <= 500, "{outcomes:?}");
        for outcome in &outcomes[..8] {
            assert!(outcome.served * 2 > outcome.lost, "{outcomes:?}");
        }
    }

    /// Requests of a daemon that died block the others.
    places_of_a_dead_daemon_lapse => {
        let mut line = Line::default();
        let until_ms = 1_000 + ASK_MS + PLACE_GRACE_MS;
        for number in 0..10 {
            line.keep(request(number, "red"), until_ms, 1_000);
        }
        let other = WaitingRequest { route_rank: 1, ..request(10, "red") };
        assert_eq!(line.ahead_ms(&other, &engine(0), until_ms), 100.0);
        assert!(is_ahead(&line, &other, until_ms + 1));
        line.drop_lapsed(until_ms + 1);
        assert!(line.is_empty());
    }

    /// A caller that was refused and returns as told is queued behind those that came after it.
    returning_caller_keeps_its_first_arrival => {
        let mut line = Line::default();
        line.keep_refused(request(1, "red"), 3_250, 1_000);
        // Has waited for less than half of its wait.
        let newer = WaitingRequest { waited_ms: 500, ..request(2, "red") };
        line.keep(newer, 9_000, 3_000);
        assert!(is_ahead(&line, &request(1, "red"), 3_100));
        assert!(line.keep(request(1, "red"), 3_500, 3_100));
        assert!(is_ahead(&line, &request(1, "red"), 3_200));
        // Its place has lapsed, so it starts again.
        assert!(!is_ahead(&line, &request(1, "red"), 3_501));
    }

    /// An engine is kept free for requests that are not there to be assigned to it.
    refused_requests_and_those_that_gave_up_block_nothing => {
        let mut line = Line::default();
        line.keep_refused(request(1, "red"), 9_000, 1_000);
        line.keep(WaitingRequest { waited_ms: 3_900, ..request(2, "red") }, 9_000, 1_000);
        assert_eq!(line.ahead_ms(&request(3, "red"), &engine(0), 1_100), 10.0);
        assert!(is_ahead(&line, &request(3, "red"), 1_101));
        // The refused one returns, and is overdue by its first arrival.
        line.keep(request(1, "red"), 9_000, 3_000);
        assert!(!is_ahead(&line, &request(3, "red"), 3_000));
    }

    /// A flood grows the leader's memory, or pushes out urgent requests.
    least_urgent_is_dropped_from_a_full_line => {
        // Of equal requests the last to come is the least urgent.
        let mut line = Line::default();
        let top = WaitingRequest { team_rank: 0, ..request(0, "blue") };
        line.keep(top, 9_000, 1_000);
        for number in 1..2 * MAX_PLACES as u64 {
            let kept = line.keep(request(number, "red"), 9_000, 1_000);
            assert_eq!(kept, number < MAX_PLACES as u64);
        }
        assert_eq!(line.len(), MAX_PLACES);
        assert_eq!(line.ahead_ms(&request(9_999, "red"), &engine(0), 1_000), 10_240.0);
        // The team that was served the most is still known: its own request comes after another's.
        line = Line::default();
        line.record_served(Some(&"red".into()), 0, 500.0, 1_000);
        for number in 0..2 * MAX_TEAMS {
            line.record_served(Some(&format!("team-{number}").into()), 0, 1.0, 1_000);
        }
        line.keep(request(1, "red"), 9_000, 1_000);
        assert!(is_ahead(&line, &request(2, "blue"), 1_000));
    }

    /// A lower team rank passes a higher one at the engine once the range is exhausted.
    endpoint_priority_keeps_the_order_of_teams => {
        let priorities = |rank| (0..=u8::MAX).map(move |route| endpoint_priority(rank, route));
        assert!(priorities(None).eq((0..=u8::MAX).map(|route| route.min(9))));
        for team in 0..u8::MAX {
            let last = priorities(Some(team)).max().expect("a priority");
            let first = priorities(Some(team + 1)).min().expect("a priority");
            assert!(last <= first && first <= 9, "{team}");
            assert!(priorities(Some(team)).is_sorted());
        }
        assert_eq!(priorities(Some(1)).take(4).collect::<Vec<_>>(), [3, 4, 5, 5]);
    }

    /// A request is lost, counted twice or behind itself, or keeps its place for too long.
    order_is_total_in_random_histories => {
        FAILED_SEEDS.iter().copied().chain(0..SEEDS).for_each(check_history);
    }
}

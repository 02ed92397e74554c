//! Who asks, as far as the configuration and its age tell.

use std::collections::BTreeMap;
use trestle_dispatch::{
    catalog::{CallerLimits, Catalog},
    identity::{ConfigCertainty, Identity, NotAdmitted},
    route::{Route, RouteKind, RouteTable},
    team::{Credential, KeyDigest, LimitUnit, Team, TeamLimit, Teams},
};

const CERTAIN: ConfigCertainty = ConfigCertainty { proves_keys: true, may_lack_newer: false };
const OLD: ConfigCertainty = ConfigCertainty { proves_keys: false, may_lack_newer: true };
const LAGGING: ConfigCertainty = ConfigCertainty { proves_keys: true, may_lack_newer: true };

fn catalog(teams: &[(&str, &[&str])]) -> Catalog {
    let limits = CallerLimits { header_bytes: 1, body_bytes: 1, header_ms: 1, idle_ms: 1 };
    let teams = teams.iter().map(|(name, keys)| {
        let team = Team { name: (*name).into(), priority: Some(0), limit: None };
        (team, keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect())
    });
    Catalog {
        version: 1,
        routes: RouteTable::default(),
        services: BTreeMap::new(),
        limits,
        teams: Teams::new(teams),
    }
}

fn route(is_public: bool) -> Route {
    Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 300,
        pause_ms: 0,
        attempts: 2,
        priority: 3,
        is_public,
        targets: Vec::new(),
    }
}

fn key(key: &str) -> Credential {
    Credential::Key(KeyDigest::of(key.as_bytes()))
}

fn of(is_public: bool, credential: Credential, certainty: ConfigCertainty) -> String {
    let catalog = catalog(&[("red", &["r1", "r2"]), ("blue", &["b1"])]);
    match Identity::of(&catalog, &route(is_public), credential, certainty) {
        Ok(identity) => identity.team().map_or("nobody".to_owned(), |team| team.name.to_string()),
        Err(NotAdmitted::UnknownKey) => "unknown".to_owned(),
        Err(NotAdmitted::Unsure) => "unsure".to_owned(),
    }
}

macro_rules! cases {
    ($($name:ident: $is_public:literal, $credential:expr, $certainty:expr => $expected:literal;)+) => {
        $(#[test] fn $name() { assert_eq!(of($is_public, $credential, $certainty), $expected); })+
    };
}

cases! {
    each_key_of_a_team_counts: false, key("r2"), CERTAIN => "red";
    no_key_is_not_let_in: false, Credential::Missing, CERTAIN => "unknown";
    something_else_is_not_let_in: false, Credential::Malformed, CERTAIN => "unknown";
    an_unknown_key_is_not_let_in: false, key("x"), CERTAIN => "unknown";
    nobody_is_let_in_on_an_open_route: true, Credential::Missing, CERTAIN => "nobody";
    an_unknown_key_changes_nothing_on_an_open_route: true, key("x"), CERTAIN => "nobody";
    a_team_is_known_on_an_open_route: true, key("b1"), CERTAIN => "blue";
    a_key_that_may_have_been_taken_away_does_not_count: false, key("r1"), OLD => "unsure";
    a_key_that_may_have_been_given_is_not_called_unknown: false, key("x"), LAGGING => "unsure";
    whoever_gives_no_key_is_rejected_however_old_all_is: false, Credential::Missing, OLD => "unknown";
    open_routes_go_on_however_old_all_is: true, Credential::Missing, OLD => "nobody";
}

#[test]
fn without_teams_nobody_is_asked() {
    let identity = Identity::of(&catalog(&[]), &route(false), key("x"), OLD);
    assert_eq!(identity, Ok(Identity::NotRequired));
}

#[test]
fn a_key_that_was_taken_away_or_given_to_others_no_longer_counts() {
    let before = catalog(&[("red", &["r1", "r2"])]);
    let identity = Identity::of(&before, &route(false), key("r1"), CERTAIN).expect("it is known");
    assert!(identity.is_still_valid(&before));
    assert!(!identity.is_still_valid(&catalog(&[("red", &["r2"])])));
    assert!(!identity.is_still_valid(&catalog(&[("red", &["r2"]), ("blue", &["r1"])])));
    assert!(!identity.is_still_valid(&catalog(&[])));
}

#[test]
fn a_digest_does_not_print_itself() {
    let credential = key("topsecret");
    assert_eq!(format!("{credential:?}"), "Key(KeyDigest)");
}

#[test]
fn what_a_request_counts_depends_on_the_unit() {
    let limit = |unit| TeamLimit { unit, per_s: 1, burst: 1 };
    assert_eq!(limit(LimitUnit::Requests).cost(Some(900)), 1);
    assert_eq!(limit(LimitUnit::Tokens { default_tokens: 200 }).cost(Some(900)), 900);
    assert_eq!(limit(LimitUnit::Tokens { default_tokens: 200 }).cost(None), 200);
}

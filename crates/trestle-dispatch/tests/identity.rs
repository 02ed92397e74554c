//! The identity of callers, depending on the configuration and its age.

use std::collections::BTreeMap;
use trestle_dispatch::{
    catalog::{CallerLimits, Catalog},
    identity::{ConfigCertainty, Identity, NotAdmitted},
    route::{Route, RouteKind, RouteTable},
    team::{Credential, KeyDigest, LimitUnit, Team, TeamLimit, Teams},
};

const CERTAIN: ConfigCertainty = ConfigCertainty { can_accept_keys: true, may_lack_newer: false };
const OUTDATED: ConfigCertainty = ConfigCertainty { can_accept_keys: false, may_lack_newer: true };
const LAGGING: ConfigCertainty = ConfigCertainty { can_accept_keys: true, may_lack_newer: true };

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
        Err(NotAdmitted::Uncertain) => "uncertain".to_owned(),
    }
}

macro_rules! cases {
    ($($name:ident: $is_public:literal, $credential:expr, $certainty:expr => $expected:literal;)+) => {
        $(#[test] fn $name() { assert_eq!(of($is_public, $credential, $certainty), $expected); })+
    };
}

cases! {
    each_key_of_a_team_is_accepted: false, key("r2"), CERTAIN => "red";
    a_missing_key_is_rejected: false, Credential::Missing, CERTAIN => "unknown";
    a_malformed_key_is_rejected: false, Credential::Malformed, CERTAIN => "unknown";
    an_unknown_key_is_rejected: false, key("x"), CERTAIN => "unknown";
    a_public_route_needs_no_key: true, Credential::Missing, CERTAIN => "nobody";
    a_public_route_ignores_unknown_keys: true, key("x"), CERTAIN => "nobody";
    a_public_route_recognizes_teams: true, key("b1"), CERTAIN => "blue";
    a_key_that_may_have_been_revoked_is_not_accepted: false, key("r1"), OUTDATED => "uncertain";
    a_key_that_may_have_been_issued_is_not_called_unknown: false, key("x"), LAGGING => "uncertain";
    a_missing_key_is_rejected_with_any_configuration: false, Credential::Missing, OUTDATED => "unknown";
    public_routes_work_with_any_configuration: true, Credential::Missing, OUTDATED => "nobody";
}

#[test]
fn without_teams_no_key_is_required() {
    let identity = Identity::of(&catalog(&[]), &route(false), key("x"), OUTDATED);
    assert_eq!(identity, Ok(Identity::NotRequired));
}

#[test]
fn a_key_that_was_revoked_or_reassigned_is_no_longer_valid() {
    let before = catalog(&[("red", &["r1", "r2"])]);
    let identity =
        Identity::of(&before, &route(false), key("r1"), CERTAIN).expect("the key is known");
    assert!(identity.is_still_valid(&before));
    assert!(!identity.is_still_valid(&catalog(&[("red", &["r2"])])));
    assert!(!identity.is_still_valid(&catalog(&[("red", &["r2"]), ("blue", &["r1"])])));
    assert!(!identity.is_still_valid(&catalog(&[])));
}

#[test]
fn the_debug_format_hides_digests() {
    let credential = key("topsecret");
    assert_eq!(format!("{credential:?}"), "Key(KeyDigest)");
}

#[test]
fn the_cost_of_a_request_depends_on_the_unit() {
    let limit = |unit| TeamLimit { unit, per_s: 1, burst: 1 };
    assert_eq!(limit(LimitUnit::Requests).cost(Some(900)), 1);
    assert_eq!(limit(LimitUnit::Tokens { default_tokens: 200 }).cost(Some(900)), 900);
    assert_eq!(limit(LimitUnit::Tokens { default_tokens: 200 }).cost(None), 200);
}

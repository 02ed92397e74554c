//! Which way connections to endpoints take while a daemon has no path of its own.

mod common;

use common::endpoint;
use trestle_dispatch::{
    endpoint::Endpoint,
    reachability::{ConnectFailure, Reachability, Route, ServiceChange},
};

/// The delay of the detour where nothing speaks against the direct path.
const NOTHING_KNOWN: Route = Route::DirectFirst { detour_after_ms: 100 };

/// Reachability at which some endpoints fail silently while a detour works.
fn blocked(endpoints: &[&Endpoint], now_ms: u64) -> Reachability {
    let mut reachability = Reachability::default();
    for endpoint in endpoints {
        reachability.failed(endpoint, ConnectFailure::Silent, now_ms);
        reachability.detoured(&endpoint.incarnation(), now_ms);
    }
    reachability
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    a_blocked_endpoint_is_reached_by_a_detour_at_once_and_probed_once_a_second => {
        let x = endpoint("x", "z", &[]);
        let mut reachability = blocked(&[&x], 0);
        let routes = (1..=30).map(|step| reachability.route(&x, step * 100));
        let probes = routes.filter(|route| match route {
            Route::Detour { with_probe } => *with_probe,
            other => panic!("{other:?}"),
        });
        assert_eq!(probes.count(), 3);
    }

    a_blocked_endpoint_is_used_directly_once_it_accepts_a_connection => {
        let x = endpoint("x", "z", &[]);
        let mut reachability = blocked(&[&x], 0);
        reachability.connected(&x, true, 5_000);
        assert!(!reachability.is_blocked(&x.incarnation()));
        assert_eq!(reachability.route(&x, 5_001), NOTHING_KNOWN);
    }

    // An endpoint that is down is the same for all daemons; each would ask helpers again and again.
    no_detour_is_tried_for_a_second_where_no_daemon_reaches_an_endpoint => {
        let x = endpoint("x", "z", &[]);
        let mut reachability = Reachability::default();
        reachability.failed(&x, ConnectFailure::Silent, 0);
        reachability.detour_failed(&x.incarnation(), 0);
        assert_eq!(reachability.route(&x, 999), Route::Direct);
        assert_eq!(reachability.route(&x, 1_000), NOTHING_KNOWN);
        assert!(!reachability.is_blocked(&x.incarnation()));
    }

    a_detour_that_opens_first_does_not_block_an_endpoint_that_accepts_connections => {
        let x = endpoint("x", "z", &[]);
        let mut reachability = Reachability::default();
        reachability.detoured(&x.incarnation(), 100);
        assert!(!reachability.is_blocked(&x.incarnation()));
        reachability.connected(&x, false, 150);
        reachability.failed(&x, ConnectFailure::Refused, 9_000);
        assert!(!reachability.is_blocked(&x.incarnation()), "the detour worked long ago");
    }

    // The first request at each endpoint would wait for a timeout in vain.
    once_a_service_is_lost_its_other_endpoints_are_tried_both_ways_at_once => {
        let [x, y, z] = ["x", "y", "z"].map(|name| endpoint(name, "z", &[]));
        let mut reachability = blocked(&[&x], 0);
        assert_eq!(reachability.route(&z, 10), NOTHING_KNOWN);
        assert_eq!(
            reachability.failed(&y, ConnectFailure::Silent, 20),
            Some(ServiceChange::Lost { endpoints: 2 })
        );
        assert_eq!(reachability.route(&z, 30), Route::DirectFirst { detour_after_ms: 0 });
        assert_eq!(
            reachability.connected(&z, false, 1_000),
            Some(ServiceChange::Regained { after_ms: 1_000 })
        );
        let other = endpoint("other", "z", &[]);
        assert_eq!(reachability.route(&other, 1_001), NOTHING_KNOWN);
    }

    // Connections that are accepted and reset look as if the path worked.
    connections_that_are_reset_at_once_take_a_detour_until_one_has_held => {
        let x = endpoint("x", "z", &[]);
        let mut reachability = Reachability::default();
        reachability.connected(&x, false, 0);
        reachability.reset(&x, 1);
        assert_eq!(reachability.route(&x, 2), Route::Detour { with_probe: false });
        reachability.connected(&x, false, 3);
        assert_eq!(reachability.route(&x, 4), Route::Detour { with_probe: false });
        reachability.detoured(&x.incarnation(), 5);
        assert!(reachability.is_blocked(&x.incarnation()));
        reachability.connected(&x, true, 6);
        assert_eq!(reachability.route(&x, 7), NOTHING_KNOWN);
    }

    a_daemon_is_cut_off_once_most_endpoints_that_it_tried_are_blocked_for_a_second => {
        let [x, y, z] = ["x", "y", "z"].map(|name| endpoint(name, "z", &[]));
        let all = [x.clone(), y.clone(), z.clone()];
        let mut reachability = blocked(&[&x, &y], 0);
        reachability.connected(&z, false, 900);
        assert!(!reachability.is_cut_off_from(all.iter(), 999));
        assert!(reachability.is_cut_off_from(all.iter(), 1_000));
        reachability.connected(&y, false, 1_100);
        assert!(!reachability.is_cut_off_from(all.iter(), 1_200));
    }

    // Under steady traffic connections are old, and one endpoint that crashed was all that new ones showed.
    an_endpoint_that_answers_over_an_old_connection_is_reached => {
        let all = ["x", "y", "z"].map(|name| endpoint(name, "z", &[]));
        let mut reachability = Reachability::default();
        reachability.answered(&all[0], 4_000);
        reachability.failed(&all[1], ConnectFailure::Refused, 5_000);
        assert!(reachability.unreached_services(all.iter(), 5_000).is_empty());
        reachability.failed(&all[0], ConnectFailure::Refused, 5_100);
        reachability.answered(&all[0], 5_200);
        assert_eq!(reachability.unreached_services(all.iter(), 5_300).len(), 1, "new ones are refused");
    }

    endpoints_that_nobody_reaches_do_not_cut_a_daemon_off => {
        let all = ["x", "y"].map(|name| endpoint(name, "z", &[]));
        let mut reachability = Reachability::default();
        for endpoint in &all {
            reachability.failed(endpoint, ConnectFailure::Silent, 0);
            reachability.detour_failed(&endpoint.incarnation(), 0);
        }
        assert!(!reachability.is_cut_off_from(all.iter(), 5_000));
        let unreached = reachability.unreached_services(all.iter(), 5_000);
        assert_eq!(unreached.len(), 1, "it cannot help others");
    }
}

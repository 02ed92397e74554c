//! Which daemon acquires a free lease first.

use trestle_dispatch::{
    candidate::{self, Candidate},
    lease::LeaseRow,
};

fn row(millicores: u32, is_released: bool) -> LeaseRow {
    LeaseRow {
        holder: "vm-0".to_owned(),
        address: "127.0.0.1:7000".parse().expect("an address"),
        millicores,
        incarnation: 1,
        token: 1,
        renewals: 5,
        has_begun: true,
        is_released,
        daemons: 0,
        refused: Vec::new(),
        departures: Vec::new(),
    }
}

macro_rules! cases {
    ($($name:ident: ($one:expr, $one_ms:expr) before ($other:expr, $other_ms:expr), $last:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let last: Option<LeaseRow> = $last;
                let delay_ms = |millicores, age_ms| {
                    Candidate { millicores, age_ms, ready_since_ms: 0, is_cut_off: false }.takeover_delay_ms(last.as_ref())
                };
                assert!(delay_ms($one, $one_ms) < delay_ms($other, $other_ms));
            }
        )+
    };
}

cases! {
    strongest_vm_leads_first: (500, 300) before (120, 100), None;
    vm_as_strong_as_the_last_holder_goes_first: (500, 60_000) before (120, 60_000), Some(row(500, false));
    recently_started_vm_goes_first: (500, 5_000) before (500, 60_000), Some(row(500, true));
}

#[test]
fn no_delay_among_equal_vms() {
    let candidate =
        Candidate { millicores: 250, age_ms: 60_000, ready_since_ms: 0, is_cut_off: false };
    assert_eq!(candidate.takeover_delay_ms(Some(&row(250, false))), 0);
}

#[test]
fn weakest_vm_acquires_the_lease_in_the_end() {
    for last in [None, Some(row(4_000, false)), Some(row(4_000, true))] {
        let candidate =
            Candidate { millicores: 1, age_ms: 60_000, ready_since_ms: 0, is_cut_off: false };
        assert!(candidate.takeover_delay_ms(last.as_ref()) <= 1_000);
    }
}

// The delay counted from when the lease became free, long before the first configuration made all
// daemons ready. So it had passed for all, and the weakest VM led.
#[test]
fn stronger_vm_goes_first_even_if_the_lease_was_free_before_either_was_ready() {
    let may_acquire_from_ms = |millicores, ready_since_ms| {
        let candidate =
            Candidate { millicores, age_ms: ready_since_ms, ready_since_ms, is_cut_off: false };
        candidate.may_acquire_from_ms(100, None)
    };
    assert!(may_acquire_from_ms(500, 2_300) < may_acquire_from_ms(120, 2_000));
}

#[test]
fn daemon_that_is_cut_off_from_the_engines_leaves_the_lease_to_weaker_vms() {
    for last in [None, Some(row(4_000, false)), Some(row(4_000, true))] {
        let delay_ms = |millicores, is_cut_off| {
            let candidate = Candidate { millicores, age_ms: 60_000, ready_since_ms: 0, is_cut_off };
            candidate.takeover_delay_ms(last.as_ref())
        };
        assert!(delay_ms(1, false) + 2_300 < delay_ms(4_000, true));
    }
}

// Where every daemon loses most engines, no holder may be found that reaches them.
#[test]
fn lease_does_not_move_on_all_the_time_while_every_daemon_is_cut_off() {
    let mut step_downs = Vec::new();
    for now_ms in (0..60_000).step_by(100) {
        if candidate::should_step_down(true, step_downs.last().copied(), now_ms) {
            step_downs.push(now_ms);
        }
    }
    assert_eq!(step_downs.len(), 3, "{step_downs:?}");
    assert!(!candidate::should_step_down(false, None, 60_000));
}

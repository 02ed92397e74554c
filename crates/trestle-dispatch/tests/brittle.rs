//! Endpoints that crash if they have to reject too many requests: how many requests daemons send.

mod common;

use common::endpoint;
use trestle_dispatch::{
    brittle::{BrittleChange, BrittleServices, DaemonState, SlotReport},
    endpoint::Endpoint,
    signals::HeaderField,
    slot_allocator::{Slot, SlotAllocator},
};

/// Rejections in a second that an endpoint survives.
const MAX_REJECTIONS: u32 = 3;

fn state(daemons: usize, in_flight: u32, now_ms: u64) -> DaemonState {
    DaemonState { daemons, in_flight, now_ms }
}

fn announce(brittle: &mut BrittleServices, endpoint: &Endpoint, is_rejection: bool, now_ms: u64) {
    let announced = HeaderField::Value(MAX_REJECTIONS);
    brittle.apply_answer(endpoint, &announced, is_rejection, now_ms, state(6, 0, now_ms));
}

/// Lends slots of one endpoint to daemons.
struct Lending {
    allocator: SlotAllocator,
    token: u64,
    slots: u32,
}

impl Lending {
    /// Returns a leader to which a daemon has reported long enough ago that it lends slots.
    fn of(slots: u32) -> Self {
        let mut lending = Self { allocator: SlotAllocator::default(), token: 1, slots };
        lending.request("first", 0, 0, 0, 0);
        lending
    }

    fn request(
        &mut self,
        vm: &str,
        used: u32,
        received: u64,
        rejections: u32,
        now_ms: u64,
    ) -> Slot {
        let report = SlotReport { used, received, rejections, max_rejections: MAX_REJECTIONS };
        let incarnation = endpoint("x", "z", &[]).incarnation();
        let token = Some(self.token);
        self.allocator.request(&incarnation, &vm.into(), report, self.slots, token, now_ms)
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    one_answer_makes_all_endpoints_of_the_service_brittle_until_one_says_nothing => {
        let [x, y] = ["x", "y"].map(|name| endpoint(name, "z", &[]));
        let mut brittle = BrittleServices::default();
        assert!(!brittle.needs_slot(&y, 0));
        announce(&mut brittle, &x, false, 100);
        assert!(brittle.needs_slot(&y, 101));
        let end = |brittle: &mut BrittleServices, sent_ms| {
            brittle.apply_answer(&x, &HeaderField::Absent, false, sent_ms, state(6, 0, 300))
        };
        assert_eq!(end(&mut brittle, 99), None, "an answer to a request from before");
        assert_eq!(end(&mut brittle, 200), Some(BrittleChange::Ends));
        assert!(!brittle.needs_slot(&y, 301));
    }

    an_endpoint_that_is_not_brittle_beside_others_that_are_needs_no_slots => {
        let [x, y] = ["x", "y"].map(|name| endpoint(name, "z", &[]));
        let mut brittle = BrittleServices::default();
        announce(&mut brittle, &x, false, 100);
        let silent = &HeaderField::Absent;
        assert_eq!(brittle.apply_answer(&y, silent, false, 200, state(6, 0, 300)), None);
        assert!(!brittle.needs_slot(&y, 301));
        assert!(brittle.needs_slot(&x, 301));
    }

    no_more_slots_are_lent_than_the_endpoint_has => {
        let mut lending = Lending::of(6);
        let lent = (0..12).filter(|number| {
            lending.request(&format!("vm-{number}"), 0, 0, 0, 2_000) == Slot::Lent
        });
        assert_eq!(lent.count(), 6);
    }

    // Reports of one daemon may overtake the slots that it was lent.
    a_report_from_before_a_slot_was_received_does_not_free_it => {
        let mut lending = Lending::of(2);
        assert_eq!(lending.request("a", 0, 0, 0, 2_000), Slot::Lent);
        assert_eq!(lending.request("a", 0, 0, 0, 2_001), Slot::Lent);
        assert!(matches!(lending.request("a", 0, 0, 0, 2_002), Slot::Full { .. }));
        assert!(matches!(lending.request("b", 0, 0, 0, 2_003), Slot::Full { .. }));
        // Both have arrived, and one request has ended.
        assert_eq!(lending.request("a", 1, 2, 0, 2_100), Slot::Lent);
    }

    a_slot_whose_answer_was_lost_is_free_again_soon => {
        let mut lending = Lending::of(1);
        assert_eq!(lending.request("a", 0, 0, 0, 2_000), Slot::Lent);
        assert_eq!(lending.request("a", 0, 0, 0, 2_600), Slot::Lent);
    }

    slots_of_a_daemon_that_reports_no_more_are_free_again => {
        let mut lending = Lending::of(1);
        assert_eq!(lending.request("a", 0, 0, 0, 2_000), Slot::Lent);
        assert!(matches!(lending.request("b", 0, 0, 0, 4_400), Slot::Full { .. }));
        assert_eq!(lending.request("b", 0, 0, 0, 4_500), Slot::Lent);
    }

    // A leader that has just acquired the lease does not know which slots its predecessor has lent.
    a_new_leader_lends_nothing_before_all_daemons_have_reported => {
        let mut lending = Lending::of(6);
        assert_eq!(lending.request("a", 0, 0, 0, 2_000), Slot::Lent);
        lending.token = 2;
        assert_eq!(lending.request("a", 1, 1, 0, 2_100), Slot::NotLending);
        assert_eq!(lending.request("a", 1, 1, 0, 3_600), Slot::Lent);
    }

    a_daemon_without_the_lease_lends_nothing => {
        let mut allocator = SlotAllocator::default();
        let report = SlotReport { used: 0, received: 0, rejections: 0, max_rejections: 3 };
        let incarnation = endpoint("x", "z", &[]).incarnation();
        for now_ms in [0, 5_000] {
            let slot = allocator.request(&incarnation, &"a".into(), report, 6, None, now_ms);
            assert_eq!(slot, Slot::NotLending);
        }
    }

    nothing_is_lent_once_half_of_the_survivable_rejections_came_within_a_second => {
        let mut lending = Lending::of(6);
        assert_eq!(lending.request("a", 0, 0, 1, 2_000), Slot::Lent);
        assert!(matches!(lending.request("a", 0, 0, 1, 2_100), Slot::Full { .. }));
        assert!(matches!(lending.request("b", 0, 0, 0, 2_999), Slot::Full { .. }));
        assert_eq!(lending.request("b", 0, 0, 0, 3_100), Slot::Lent);
    }

    // Each daemon decides alone, and all of them meet at the same endpoint.
    without_a_leader_all_daemons_together_stay_within_the_slots => {
        let x = endpoint("x", "z", &[]);
        for daemons in [1, 2, 6, 12, 100, 300] {
            let mut fleet: Vec<BrittleServices> =
                (0..daemons).map(|seed| BrittleServices::with_seed(1_000 + seed as u64)).collect();
            let (mut exceeded, mut used) = (0, 0);
            for second in 0..500 {
                let now_ms = second * 1_000;
                let may_send = |brittle: &mut BrittleServices| {
                    announce(brittle, &x, false, now_ms);
                    brittle.slot_report(&x, 0, now_ms);
                    brittle.leader_unreachable(&x, now_ms);
                    let is_closed = |in_flight| {
                        brittle.closed_for_ms(&x, state(daemons, in_flight, now_ms)).is_some()
                    };
                    (0..x.slots).take_while(|in_flight| !is_closed(*in_flight)).count()
                };
                let running: usize = fleet.iter_mut().map(may_send).sum();
                used += running;
                exceeded += u32::from(running > (x.slots + MAX_REJECTIONS) as usize);
            }
            assert!(exceeded <= 2, "{daemons} daemons: {exceeded} of 500 s");
            assert!(used >= 500, "{daemons} daemons: {used} slots used in 500 s");
        }
    }

    // Ten daemons that are each rejected once a second are more than an endpoint survives.
    without_a_leader_a_rejection_keeps_a_daemon_away_for_its_part_of_the_time => {
        let x = endpoint("x", "z", &[]);
        let mut brittle = BrittleServices::default();
        announce(&mut brittle, &x, false, 0);
        brittle.slot_report(&x, 0, 0);
        brittle.leader_unreachable(&x, 0);
        brittle.apply_answer(&x, &HeaderField::Value(3), true, 0, state(12, 0, 10));
        assert_eq!(brittle.closed_for_ms(&x, state(12, 0, 10)), Some(4_000));
    }
}

//! Versions of the store between daemons, also those of earlier releases.

use trestle_dispatch::store_version::{MAX_ERA, StoreVersion};
use trestle_wire::store_version::{NoEra, WireStoreVersion};

fn packed(wire: WireStoreVersion) -> u64 {
    serde_json::to_value(wire).expect("a number").as_u64().expect("a whole number")
}

fn from_packed(value: u64) -> WireStoreVersion {
    serde_json::from_value(value.into()).expect("a number")
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    versions_arrive_as_they_were_sent => {
        for (era, number) in [(0, 0), (0, 7), (1, 95), (MAX_ERA, (1 << 40) - 1)] {
            let version = StoreVersion { era, number };
            let wire = from_packed(packed(version.into()));
            assert!(wire.has_era());
            assert_eq!(StoreVersion::try_from(wire), Ok(version));
        }
    }

    earlier_releases_send_and_get_numbers_alone => {
        assert_eq!(StoreVersion::try_from(from_packed(157)), Err(NoEra { number: 157 }));
        assert_eq!(packed(WireStoreVersion::without_era(StoreVersion { era: 2, number: 95 })), 95);
    }

    leaders_of_earlier_releases_that_request_nothing_know_no_eras => {
        assert!(!from_packed(u64::MAX).has_era());
    }
}

//! Entries of other writers, whose texts and addresses cannot be used.

mod common;

use common::endpoint;
use std::net::SocketAddr;
use trestle_dispatch::{
    endpoint::Endpoint,
    entry_check::{self, RejectedEntries},
    listing::{ListUpdate, ListedEntry},
    store_version::StoreVersion,
};

fn named(name: &str) -> Endpoint {
    endpoint(name, "z", &[])
}

fn in_domain(domain: &str) -> Endpoint {
    Endpoint { domain: domain.into(), ..named("i-1") }
}

fn of_service(service: &str) -> Endpoint {
    Endpoint { service: service.into(), ..named("i-1") }
}

fn with_version(version: &str) -> Endpoint {
    Endpoint { software_version: Some(version.into()), ..named("i-1") }
}

fn at(address: &str) -> Endpoint {
    let address: SocketAddr = address.parse().expect("an address");
    Endpoint { address, ..named("i-1") }
}

macro_rules! cases {
    ($($name:ident: $entry:expr => $is_usable:literal;)+) => {
        $(#[test] fn $name() { assert_eq!(entry_check::check(&$entry).is_ok(), $is_usable); })+
    };
}

cases! {
    an_ordinary_entry: named("i-7f3a91c2") => true;
    a_name_with_an_inner_space: named("rack 4") => true;
    a_name_with_a_line_end: named("i-1\n") => false;
    a_name_with_a_carriage_return_inside: named("i\r\nX: 1") => false;
    a_name_with_a_tab: named("i\t1") => false;
    a_name_without_bytes: named("") => false;
    a_name_with_outer_spaces: named(" i-1") => false;
    a_name_beyond_ascii: named("i-\u{e9}") => false;
    a_name_with_a_zero_byte: named("i-\0") => false;
    a_name_of_the_greatest_length: named(&"i".repeat(200)) => true;
    a_name_that_is_too_long: named(&"i".repeat(201)) => false;
    a_service_beyond_ascii: of_service("d\u{e9}p\u{f4}t") => true;
    a_service_with_a_line_end: of_service("web\n") => false;
    a_failure_domain_without_bytes: in_domain("") => false;
    a_failure_domain_that_is_too_long: in_domain(&"z".repeat(101)) => false;
    a_failure_domain_with_a_line_end: in_domain("z\n") => false;
    a_version_without_bytes: with_version("") => true;
    a_version_that_is_too_long: with_version(&"v".repeat(201)) => false;
    a_port_of_zero: at("10.1.0.4:0") => false;
    the_unspecified_address: at("0.0.0.0:80") => false;
    the_unspecified_address_of_ipv6: at("[::]:80") => false;
    the_unspecified_address_mapped_to_ipv6: at("[::ffff:0.0.0.0]:80") => false;
    a_multicast_address: at("224.0.0.1:80") => false;
    the_broadcast_address: at("255.255.255.255:80") => false;
}

// A leader of an earlier release relays such entries as it reads them.
#[test]
fn an_unusable_entry_of_an_update_is_a_removal_and_the_others_hold() {
    let listed = |name: &str, number| ListedEntry {
        key: name.to_owned(),
        endpoint: named(name),
        version: StoreVersion::from(number),
    };
    for is_whole in [false, true] {
        let mut update = ListUpdate {
            is_whole,
            written: vec![listed("i-1", 4), listed("i-1\n", 5), listed("i-2", 6)],
            removed: Vec::new(),
            version: 6.into(),
        };
        let rejected = update.reject_unusable();
        assert_eq!(rejected.len(), 1);
        let kept: Vec<&str> = update.written.iter().map(|entry| entry.key.as_str()).collect();
        assert_eq!(kept, ["i-1", "i-2"]);
        assert_eq!(update.removed, [("i-1\n".to_owned(), 5.into())]);
    }
}

#[test]
fn a_rejected_entry_is_reported_once_for_each_time_that_it_is_written() {
    let mut rejected = RejectedEntries::default();
    assert!(rejected.record("i-1\n", 5.into()));
    assert!(!rejected.record("i-1\n", 5.into()));
    assert!(rejected.record("i-1\n", 6.into()));
}

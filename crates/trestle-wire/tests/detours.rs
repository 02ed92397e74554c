//! The beginning of a connection that requests a detour.

use std::collections::BTreeSet;
use trestle_dispatch::endpoint::Endpoint;
use trestle_wire::detours::{DetourAnswer, MAGIC, MAX_REQUEST_BYTES, WireDetourRequest};

/// Longest message between daemons that a daemon of any release accepts, in bytes.
const MAX_MESSAGE_BYTES: u32 = 8 << 20;

fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        name: name.into(),
        started_unix_ms: 7,
        service: "s".into(),
        software_version: None,
        address: "127.0.0.1:9000".parse().expect("an address"),
        domain: "z".into(),
        slots: 8,
        is_draining: false,
        entry_number: 1,
        held: Default::default(),
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    a_request_is_read_as_it_was_written => {
        let request = WireDetourRequest::new("vm-1", &endpoint("x"));
        let bytes = request.encode().expect("a short request");
        let (magic, rest) = bytes.split_at(MAGIC.len());
        let (length, body) = rest.split_at(2);
        assert_eq!(magic, MAGIC);
        assert_eq!(usize::from(u16::from_be_bytes([length[0], length[1]])), body.len());
        assert_eq!(WireDetourRequest::decode(body).expect("valid"), request);
        assert_eq!(request.incarnation(), endpoint("x").incarnation());
    }

    daemons_of_earlier_releases_take_the_beginning_for_a_message_that_is_too_long => {
        assert!(u32::from_be_bytes(MAGIC) > MAX_MESSAGE_BYTES);
    }

    a_request_that_is_too_long_is_not_sent => {
        let name = "x".repeat(MAX_REQUEST_BYTES);
        assert!(WireDetourRequest::new("vm-1", &endpoint(&name)).encode().is_err());
    }

    bytes_that_are_no_request_are_an_error => {
        for body in [&b""[..], b"{}", b"\xff\xfe", b"[1]"] {
            assert!(WireDetourRequest::decode(body).is_err());
        }
    }

    every_answer_has_a_code_of_its_own => {
        let mut known = BTreeSet::new();
        for code in 0..=u8::MAX {
            if let Ok(answer) = DetourAnswer::try_from(code) {
                assert_eq!(u8::from(answer), code);
                known.insert(code);
            }
        }
        assert_eq!(known.len(), 6);
    }
}

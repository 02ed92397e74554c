//! Texts by what has changed in them.

#[path = "common/large_configuration.rs"]
mod large_configuration;

use large_configuration::configuration;
use trestle_dispatch::{
    compressed_text::CompressedText,
    text_delta::{TextPiece, apply_delta, text_delta},
};

fn routes(version: u64, timeouts_ms: &[u64]) -> Vec<u8> {
    let each = timeouts_ms.iter().enumerate().map(|(number, timeout_ms)| {
        format!("{{\"name\":\"r{number}\",\"prefix\":\"/p{number}/\",\"timeout_ms\":{timeout_ms}}}")
    });
    let each: Vec<String> = each.collect();
    format!("{{\"version\":{version},\"routes\":[{}]}}", each.join(",")).into_bytes()
}

fn new_bytes(pieces: &[TextPiece]) -> usize {
    let each = pieces.iter().map(|piece| match piece {
        TextPiece::New(bytes) => bytes.len(),
        TextPiece::Kept { .. } => 0,
    });
    each.sum()
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    a_changed_route_takes_few_bytes => {
        let mut timeouts_ms = vec![4_000; 500];
        let old = routes(7, &timeouts_ms);
        timeouts_ms[123] = 5_000;
        let new = routes(9, &timeouts_ms);
        let pieces = text_delta(&old, &new).expect("it is shorter");
        assert!(new_bytes(&pieces) < 100, "{}", new_bytes(&pieces));
        assert_eq!(apply_delta(&old, &pieces), Some(new));
    }

    another_text_is_told_whole => {
        assert_eq!(text_delta(b"a,b,c,d", b"e,f,g,h"), None);
    }

    any_text_comes_out_as_it_went_in => {
        let mut lots = fastrand::Rng::with_seed(3);
        for _ in 0..500 {
            let mut text = |length: usize| -> Vec<u8> {
                (0..lots.usize(0..length)).map(|_| b"ab,\n"[lots.usize(0..4)]).collect()
            };
            let (old, mut new) = (text(60), text(60));
            new.splice(0..0, old.iter().copied());
            if let Some(pieces) = text_delta(&old, &new) {
                assert_eq!(apply_delta(&old, &pieces), Some(new));
            }
        }
    }

    pieces_of_another_text_are_refused_or_make_no_more_than_they_say => {
        let (old, new) = (routes(1, &[1_000; 20]), routes(2, &[1_000; 20]));
        let pieces = text_delta(&old, &new).expect("it is shorter");
        assert_eq!(apply_delta(&old[..40], &pieces), None);
        let beyond = [TextPiece::Kept { from: usize::MAX, length: 2 }];
        assert_eq!(apply_delta(&old, &beyond), None);
    }

    // A comparison by fields alone takes a time for which a leader would stand still.
    a_thousand_new_routes_and_another_change_take_little_longer_than_a_few => {
        let few = configuration(7, 50, 4_000, "a");
        let many = configuration(8, 1_338, 4_000, "b");
        let time = |old: &[u8], new: &[u8]| {
            let begun = std::time::Instant::now();
            let delta = text_delta(old, new);
            (begun.elapsed(), delta.is_some())
        };
        let (one, _) = time(&few, &configuration(9, 50, 5_000, "b"));
        let (all, _) = time(&few, &many);
        assert!(all < one * 200, "{all:?} against {one:?}");
    }

    a_packed_text_comes_out_as_it_went_in_and_another_does_not => {
        let text = routes(7, &[4_000; 1_400]);
        let packed = CompressedText::compress(&text);
        assert!(packed.as_bytes().len() * 4 < text.len(), "{}", packed.as_bytes().len());
        assert_eq!(packed.decompress(), Some(text));
        assert_eq!(CompressedText::from_bytes(vec![255; 40]).decompress(), None);
    }
}

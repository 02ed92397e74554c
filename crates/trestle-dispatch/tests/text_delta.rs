//! Deltas between texts, and compressed texts.

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
    a_changed_route_needs_few_bytes => {
        let mut timeouts_ms = vec![4_000; 500];
        let old = routes(7, &timeouts_ms);
        timeouts_ms[123] = 5_000;
        let new = routes(9, &timeouts_ms);
        let pieces = text_delta(&old, &new).expect("the delta is shorter");
        assert!(new_bytes(&pieces) < 100, "{}", new_bytes(&pieces));
        assert_eq!(apply_delta(&old, &pieces), Some(new));
    }

    an_unrelated_text_has_no_delta => {
        assert_eq!(text_delta(b"a,b,c,d", b"e,f,g,h"), None);
    }

    deltas_reproduce_any_text => {
        let mut random = fastrand::Rng::with_seed(3);
        for _ in 0..500 {
            let mut text = |length: usize| -> Vec<u8> {
                (0..random.usize(0..length)).map(|_| b"ab,\n"[random.usize(0..4)]).collect()
            };
            let (old, mut new) = (text(60), text(60));
            new.splice(0..0, old.iter().copied());
            if let Some(pieces) = text_delta(&old, &new) {
                assert_eq!(apply_delta(&old, &pieces), Some(new));
            }
        }
    }

    pieces_outside_the_old_text_are_rejected => {
        let (old, new) = (routes(1, &[1_000; 20]), routes(2, &[1_000; 20]));
        let pieces = text_delta(&old, &new).expect("the delta is shorter");
        assert_eq!(apply_delta(&old[..40], &pieces), None);
        let beyond = [TextPiece::Kept { from: usize::MAX, length: 2 }];
        assert_eq!(apply_delta(&old, &beyond), None);
    }

    // A comparison by fields alone takes so long that it would block a leader.
    the_comparison_time_grows_moderately_with_a_thousand_new_routes => {
        let few = configuration(7, 50, 4_000, "a");
        let many = configuration(8, 1_338, 4_000, "b");
        let time = |old: &[u8], new: &[u8]| {
            let started = std::time::Instant::now();
            let delta = text_delta(old, new);
            (started.elapsed(), delta.is_some())
        };
        let (small, _) = time(&few, &configuration(9, 50, 5_000, "b"));
        let (large, _) = time(&few, &many);
        assert!(large < small * 200, "{large:?} against {small:?}");
    }

    compressed_texts_are_reproduced_and_other_bytes_rejected => {
        let text = routes(7, &[4_000; 1_400]);
        let compressed = CompressedText::compress(&text);
        assert!(compressed.as_bytes().len() * 4 < text.len(), "{}", compressed.as_bytes().len());
        assert_eq!(compressed.decompress(), Some(text));
        assert_eq!(CompressedText::from_bytes(vec![255; 40]).decompress(), None);
    }
}

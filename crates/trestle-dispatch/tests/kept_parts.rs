//! What the leader takes an engine to keep: never a part without its beginning, never more than fits.

use trestle_dispatch::load::{kept_parts::KeptParts, request_size::PromptPart};

macro_rules! cases {
    ($($name:ident: $capacity:expr, $records:expr => $($weights:literal $asked:expr, $kept:expr);+;)+) => {
        $(#[test] fn $name() {
            let mut kept = KeptParts::new($capacity);
            for (weights, ids) in $records {
                kept.record(weights, &parts(ids));
            }
            $(assert_eq!(kept.kept_tokens($weights, &parts($asked)), $kept, "{}", $asked);)+
        })+
    };
}

/// Returns one part of 100 tokens for each letter.
fn parts(ids: &str) -> Vec<PromptPart> {
    ids.chars().map(|id| PromptPart::new(&id.to_string(), 100)).collect()
}

cases! {
    a_part_counts_only_after_all_before_it: 900, [(1, "abc")] =>
        1 "abc", 300; 1 "abx", 200; 1 "xbc", 0; 1 "b", 0; 1 "", 0;
    the_same_part_after_another_beginning_is_another: 900, [(1, "ab"), (1, "b")] =>
        1 "ab", 200; 1 "b", 100; 1 "ba", 100;
    parts_count_only_for_their_weights: 900, [(1, "ab"), (2, "a")] => 1 "ab", 200; 2 "ab", 100; 3 "ab", 0;
    the_least_recently_used_part_is_evicted: 300, [(1, "a"), (1, "b"), (1, "c"), (1, "a"), (1, "d")] =>
        1 "a", 100; 1 "b", 0; 1 "c", 100; 1 "d", 100;
    the_end_of_a_prompt_is_evicted_before_its_beginning: 400, [(1, "abc"), (1, "xy")] =>
        1 "abc", 200; 1 "xy", 200;
    a_prompt_larger_than_the_memory_leaves_its_beginning: 200, [(1, "abc")] => 1 "abc", 200;
    an_engine_without_memory_keeps_nothing: 0, [(1, "a")] => 1 "a", 0;
}

#[test]
fn an_unloaded_model_leaves_room_and_nothing_else() {
    let mut kept = KeptParts::new(400);
    kept.record(1, &parts("ab"));
    kept.record(2, &parts("ab"));
    kept.forget(1);
    kept.record(3, &parts("ab"));
    let tokens = [1, 2, 3].map(|weights| kept.kept_tokens(weights, &parts("ab")));
    assert_eq!((tokens, kept.len()), ([0, 200, 200], 4));
}

#[test]
fn random_prompts_exceed_neither_the_capacity_nor_the_number_of_entries() {
    let mut random = fastrand::Rng::with_seed(1);
    let mut kept = KeptParts::new(u64::MAX);
    for round in 0..3_000 {
        let tokens = if round % 100 == 0 { u64::MAX / 3 } else { 10 };
        let ids = (0..random.usize(..700)).map(|_| random.u64(..3) ^ tokens);
        let prompt: Vec<PromptPart> = ids.map(|id| PromptPart { id, tokens }).collect();
        kept.record(round % 5, &prompt);
        assert!(kept.len() <= 512, "{} entries", kept.len());
        let fits = prompt.len().min(if tokens > 10 { 1 } else { 512 });
        assert_eq!(kept.kept_tokens(round % 5, &prompt), fits as u64 * tokens, "round {round}");
    }
    (0..5).for_each(|weights| kept.forget(weights));
    assert!(kept.is_empty());
}

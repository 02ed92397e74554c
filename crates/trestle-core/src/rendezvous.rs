//! Rendezvous hashing.
//!
//! Every daemon that knows the same names computes the same ranking. Adding or removing a name
//! only affects the keys for which that name ranks first.

use xxhash_rust::xxh3::Xxh3;

/// Returns all names, ranked for the key, best first.
pub fn ranked<'a, T, I>(key: &str, names: I) -> Vec<&'a T>
where
    T: AsRef<str> + Ord,
    I: IntoIterator<Item = &'a T>,
{
    let mut scored: Vec<(u64, &T)> =
        names.into_iter().map(|name| (score(key, name.as_ref()), name)).collect();
    scored.sort_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, name)| name).collect()
}

fn score(key: &str, name: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    hasher.digest()
}

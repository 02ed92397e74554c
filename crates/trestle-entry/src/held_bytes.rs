//! Limits the bytes that the daemon holds for request bodies and answers.
//!
//! A slow caller or endpoint makes the daemon hold what has arrived and was not passed on. All such
//! bytes are counted in one [`HeldBytes`], by guards that give them back when they are dropped.
//!
//! - Request bodies may use half of what is shared. Beyond that they are refused at once, so that
//!   requests that already ran can still get their answers.
//! - Answers wait until others have given bytes back. Answers that each have a part of their bytes
//!   and wait for the rest would wait forever, so one answer at a time may use a reserve that is as
//!   large as the bound for one answer.
//! - No answer may exceed the bound for one answer.
//! - An answer of unknown length may never end. If such answers have a large part of all bytes and wait
//!   for room for a while, the largest of them gives way. Otherwise answers without end would hold all the
//!   memory, each waiting for the others, until their requests are out of time.
//!
//! The bytes are the content alone. The buffers of connections and the spare capacity of growing
//! buffers come on top, so only a part of the VM's memory is given to the content.

use bytes::Bytes;
use event_listener::Event;
use futures_lite::FutureExt;
use smol::Timer;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Part of the VM's memory for held bytes, as a divisor. A growing buffer takes up to twice its
/// content, and the connections of callers and endpoints have buffers of their own.
const MEMORY_DIVISOR: usize = 4;

/// Bound in all where the settings do not tell the VM's memory: that of a VM with 512 MB.
const DEFAULT_TOTAL_BYTES: usize = 128 << 20;

/// Smallest bound in all. With less, not even common requests would be served.
const MIN_TOTAL_BYTES: usize = 4 << 20;

/// Largest bound for one answer: the largest body of a plain answer or event of a stream.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Part of the shared bytes, as a divisor, that answers of unknown length must hold together while they
/// wait for one to give way.
const WAITING_DIVISOR: usize = 4;

/// Time for which an answer waits for room before it gives way. Others that are passed on give their
/// bytes back within it.
const MAX_UNSIZED_WAIT: Duration = Duration::from_millis(250);

/// Shortest time between two log lines about the bound in all.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The bounds on held bytes.
#[trestle_macros::plain]
#[derive(Copy)]
pub(crate) struct Bounds {
    /// Bound in all, including the reserve.
    total_bytes: usize,
    /// Bound for one answer, and size of the reserve.
    answer_bytes: usize,
}

impl Bounds {
    /// Returns the bounds for a VM with this memory; `None` if the settings do not tell it.
    pub(crate) fn new(memory_mb: Option<u64>) -> Self {
        let part = |memory_mb: u64| {
            let memory_bytes = usize::try_from(memory_mb).unwrap_or(usize::MAX);
            (memory_bytes.saturating_mul(1 << 20) / MEMORY_DIVISOR).max(MIN_TOTAL_BYTES)
        };
        let total_bytes = memory_mb.map_or(DEFAULT_TOTAL_BYTES, part);
        Self { total_bytes, answer_bytes: MAX_ANSWER_BYTES.min(total_bytes / 2) }
    }

    /// Returns how much all but the user of the reserve may hold together.
    fn shared_bytes(self) -> usize {
        self.total_bytes - self.answer_bytes
    }

    /// Returns from how many bytes on, held by answers of unknown length that wait, one gives way.
    fn waiting_bytes(self) -> usize {
        self.shared_bytes() / WAITING_DIVISOR
    }

    /// Returns up to which total request bodies are accepted.
    fn bodies_bytes(self) -> usize {
        self.shared_bytes() / 2
    }
}

/// What bytes are held for.
#[trestle_macros::plain]
#[derive(Copy)]
pub(crate) enum Content {
    RequestBody,
    /// An answer that says how long it is.
    Answer,
    /// An answer, or event of a stream, of unknown length.
    UnsizedAnswer,
}

/// More bytes that one body or answer is to hold.
#[trestle_macros::plain]
#[derive(Copy)]
pub(crate) struct Growth {
    pub(crate) content: Content,
    /// Bytes that this body or answer holds already.
    pub(crate) own_bytes: usize,
    pub(crate) more_bytes: usize,
    /// Bytes that all hold.
    pub(crate) held_bytes: usize,
    /// Whether the reserve is free or used by this answer.
    pub(crate) has_reserve: bool,
}

/// Whether more bytes may be held.
#[trestle_macros::plain]
#[derive(Copy)]
pub(crate) enum Decision {
    /// They may be held.
    Hold,
    /// They may be held if the answer takes the reserve.
    HoldWithReserve,
    /// They may not be held until others have given bytes back.
    Full,
    /// They may never be held.
    TooLarge,
}

/// Decides whether more bytes may be held.
pub(crate) fn decide(bounds: Bounds, growth: Growth) -> Decision {
    let own_bytes = growth.own_bytes.saturating_add(growth.more_bytes);
    let held_bytes = growth.held_bytes.saturating_add(growth.more_bytes);
    let (own_bound, held_bound) = match growth.content {
        Content::RequestBody => (bounds.bodies_bytes(), bounds.bodies_bytes()),
        Content::Answer | Content::UnsizedAnswer => (bounds.answer_bytes, bounds.shared_bytes()),
    };
    let may_use_reserve = growth.content != Content::RequestBody && growth.has_reserve;
    if own_bytes > own_bound {
        Decision::TooLarge
    } else if held_bytes <= held_bound {
        Decision::Hold
    } else if may_use_reserve && held_bytes <= bounds.total_bytes {
        Decision::HoldWithReserve
    } else {
        Decision::Full
    }
}

/// Decides whether an answer gives way that has waited for room and holds `own_bytes`. `waiting` is what
/// each answer of unknown length holds that waits, this one included.
pub(crate) fn gives_way(
    bounds: Bounds,
    content: Content,
    own_bytes: usize,
    waiting: impl Iterator<Item = usize> + Clone,
) -> bool {
    let is_largest = waiting.clone().all(|bytes| bytes <= own_bytes);
    let waiting_bytes: usize = waiting.sum();
    content == Content::UnsizedAnswer && is_largest && waiting_bytes >= bounds.waiting_bytes()
}

/// Why bytes are not held.
#[trestle_macros::plain]
#[derive(Copy)]
pub(crate) enum NotHeld {
    /// Others hold too many bytes.
    Full,
    /// The body or answer is too large.
    TooLarge,
}

/// The bytes that the daemon holds for request bodies and answers.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    bounds: Bounds,
    state: Mutex<State>,
    released: Event,
}

#[derive(Debug, Default)]
struct State {
    held_bytes: usize,
    is_reserve_used: bool,
    /// The bytes of the answers of unknown length that wait for room, by the number of the wait.
    waiting: BTreeMap<u64, usize>,
    last_wait: u64,
    last_logged: Option<Instant>,
}

impl HeldBytes {
    /// Creates a counter for a VM with this memory; `None` if the settings do not tell it.
    pub(crate) fn new(memory_mb: Option<u64>) -> Arc<Self> {
        let bounds = Bounds::new(memory_mb);
        Arc::new(Self { bounds, state: Mutex::default(), released: Event::new() })
    }

    /// Returns the bytes that are held.
    pub(crate) fn count(&self) -> usize {
        self.lock().held_bytes
    }

    /// Returns a guard that holds nothing yet.
    pub(crate) fn guard(self: &Arc<Self>, content: Content) -> HeldGuard {
        let counter = Arc::clone(self);
        HeldGuard { counter, content, bytes: 0, uses_reserve: false, is_waiting: false }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes that one body or answer holds. They are given back when this is dropped.
#[derive(Debug)]
pub(crate) struct HeldGuard {
    counter: Arc<HeldBytes>,
    content: Content,
    bytes: usize,
    uses_reserve: bool,
    is_waiting: bool,
}

impl HeldGuard {
    /// Returns whether this many more bytes may be held now.
    ///
    /// # Errors
    ///
    /// Fails with the reason if they may not.
    pub(crate) fn check(&self, more_bytes: usize) -> Result<(), NotHeld> {
        self.decide(&mut self.counter.lock(), more_bytes).map(|_| ())
    }

    /// Holds this many more bytes.
    ///
    /// # Errors
    ///
    /// Fails with the reason if they may not be held now.
    pub(crate) fn try_grow(&mut self, more_bytes: usize) -> Result<(), NotHeld> {
        let mut state = self.counter.lock();
        let takes_reserve = self.decide(&mut state, more_bytes)?;
        state.held_bytes += more_bytes;
        state.is_reserve_used |= takes_reserve;
        drop(state);
        self.uses_reserve |= takes_reserve;
        self.bytes += more_bytes;
        Ok(())
    }

    /// Holds this many more bytes, once others have given enough bytes back.
    ///
    /// # Errors
    ///
    /// Fails if the answer is larger than any may be, or gives way to others.
    pub(crate) async fn grow(&mut self, more_bytes: usize) -> Result<(), NotHeld> {
        let mut wait = None;
        loop {
            let counter = Arc::clone(&self.counter);
            let released = counter.released.listen();
            self.is_waiting = false;
            match self.try_grow(more_bytes) {
                Err(NotHeld::Full) => {}
                result => return result,
            }
            let wait = wait.get_or_insert_with(|| Wait::begin(self));
            let left = MAX_UNSIZED_WAIT.saturating_sub(wait.began.elapsed());
            if left.is_zero() && self.gives_way() {
                return Err(NotHeld::TooLarge);
            }
            self.is_waiting = true;
            match left.is_zero() {
                true => released.await,
                false => released.or(async { _ = Timer::after(left).await }).await,
            }
        }
    }

    fn gives_way(&self) -> bool {
        let state = self.counter.lock();
        gives_way(self.counter.bounds, self.content, self.bytes, state.waiting.values().copied())
    }

    /// Returns whether [`Self::grow`] waits, or waited when it was dropped.
    pub(crate) fn is_waiting(&self) -> bool {
        self.is_waiting
    }

    /// Returns content whose bytes this guard holds. They are given back when the last reference to
    /// the content is dropped, for instance by the HTTP library once they are written.
    pub(crate) fn release_with(&mut self, content: Bytes) -> Bytes {
        let bytes = content.len().min(self.bytes);
        self.bytes -= bytes;
        let uses_reserve = self.uses_reserve && self.bytes == 0;
        self.uses_reserve &= !uses_reserve;
        let counter = Arc::clone(&self.counter);
        let guard = Self { counter, bytes, uses_reserve, content: self.content, is_waiting: false };
        Bytes::from_owner(HeldContent { content, _guard: guard })
    }

    /// Gives all bytes back.
    pub(crate) fn clear(&mut self) {
        let mut state = self.counter.lock();
        state.held_bytes -= std::mem::take(&mut self.bytes);
        state.is_reserve_used &= !std::mem::take(&mut self.uses_reserve);
        drop(state);
        self.counter.released.notify(usize::MAX);
    }

    /// Decides on more bytes, and logs if the bound in all is reached. Returns whether they need
    /// the reserve.
    fn decide(&self, state: &mut State, more_bytes: usize) -> Result<bool, NotHeld> {
        let growth = Growth {
            content: self.content,
            own_bytes: self.bytes,
            more_bytes,
            held_bytes: state.held_bytes,
            has_reserve: self.uses_reserve || !state.is_reserve_used,
        };
        let decision = decide(self.counter.bounds, growth);
        let is_full = matches!(decision, Decision::Full | Decision::HoldWithReserve);
        if is_full && state.last_logged.is_none_or(|logged| logged.elapsed() >= LOG_INTERVAL) {
            state.last_logged = Some(Instant::now());
            tracing::warn!(
                held_bytes = state.held_bytes, bound_bytes = self.counter.bounds.total_bytes,
                content = ?self.content,
                "held: The bound on bytes held for bodies and answers is reached."
            );
        }
        match decision {
            Decision::Hold => Ok(false),
            Decision::HoldWithReserve => Ok(true),
            Decision::Full => Err(NotHeld::Full),
            Decision::TooLarge => Err(NotHeld::TooLarge),
        }
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        self.clear();
    }
}

/// The wait of an answer for room.
struct Wait {
    counter: Arc<HeldBytes>,
    number: u64,
    began: Instant,
}

impl Wait {
    fn begin(guard: &HeldGuard) -> Self {
        let counter = Arc::clone(&guard.counter);
        let mut state = counter.lock();
        state.last_wait += 1;
        let number = state.last_wait;
        if guard.content == Content::UnsizedAnswer {
            state.waiting.insert(number, guard.bytes);
        }
        drop(state);
        Self { counter, number, began: Instant::now() }
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        self.counter.lock().waiting.remove(&self.number);
    }
}

/// Content with the guard of its bytes.
struct HeldContent {
    content: Bytes,
    _guard: HeldGuard,
}

impl AsRef<[u8]> for HeldContent {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOUNDS: Bounds = Bounds { total_bytes: 100, answer_bytes: 40 };

    /// Guards against bodies that take the memory of answers, answers that wait for each other
    /// forever, and more bytes than the bound.
    #[test]
    fn bytes_are_held_up_to_the_bounds() {
        use {Content::*, Decision::*};
        for (content, own_bytes, more_bytes, held_bytes, has_reserve, expected) in [
            (RequestBody, 0, 30, 0, true, Hold),
            (RequestBody, 0, 1, 30, true, Full),
            (RequestBody, 30, 1, 30, true, TooLarge),
            (Answer, 39, 1, 59, false, Hold),
            (Answer, 39, 1, 60, false, Full),
            (Answer, 39, 1, 60, true, HoldWithReserve),
            (Answer, 39, 1, 100, true, Full),
            (Answer, 40, 1, 40, true, TooLarge),
            (Answer, 0, usize::MAX, 40, true, TooLarge),
            (UnsizedAnswer, 39, 1, 60, true, HoldWithReserve),
            (UnsizedAnswer, 40, 1, 40, true, TooLarge),
        ] {
            let growth = Growth { content, own_bytes, more_bytes, held_bytes, has_reserve };
            assert_eq!(decide(BOUNDS, growth), expected, "{growth:?}");
        }
    }

    /// Guards against answers without end that hold all the memory, each waiting for the others.
    #[test]
    fn the_largest_answer_of_unknown_length_that_waits_gives_way() {
        use Content::*;
        for (content, own_bytes, waiting_bytes, expected) in [
            (UnsizedAnswer, 20, vec![20, 19, 3], true),
            (UnsizedAnswer, 19, vec![20, 19, 3], false),
            (UnsizedAnswer, 4, vec![4, 4, 4, 3], true),
            (UnsizedAnswer, 15, vec![15], true),
            (UnsizedAnswer, 14, vec![14], false),
            (Answer, 40, vec![20], false),
            (RequestBody, 20, vec![], false),
        ] {
            let gives_way = gives_way(BOUNDS, content, own_bytes, waiting_bytes.into_iter());
            assert_eq!(gives_way, expected, "{content:?} with {own_bytes}");
        }
    }

    /// Guards against bounds that overflow, or are too small to serve anything.
    #[test]
    fn bounds_follow_the_memory_of_the_vm() {
        for (memory_mb, total_mb, answer_mb) in
            [(None, 128, 16), (Some(256), 64, 16), (Some(64), 16, 8), (Some(0), 4, 2)]
        {
            let expected = Bounds { total_bytes: total_mb << 20, answer_bytes: answer_mb << 20 };
            assert_eq!(Bounds::new(memory_mb), expected);
        }
        assert!(Bounds::new(Some(u64::MAX)).total_bytes > MAX_ANSWER_BYTES);
    }

    /// Guards against bytes that are counted after they were passed on, or not until then.
    #[test]
    fn bytes_are_given_back_with_the_last_reference_to_them() {
        let counter = HeldBytes::new(None);
        let mut guard = counter.guard(Content::Answer);
        guard.try_grow(10).expect("there is room");
        let content = guard.release_with(Bytes::from_static(b"1234"));
        drop(guard);
        let reference = content.clone();
        drop(content);
        assert_eq!(counter.count(), 4);
        drop(reference);
        assert_eq!(counter.count(), 0);
    }
}

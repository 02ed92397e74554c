//! Bytes without end on one connection.

use trestle_dispatch::read_budget::{
    MAX_BYTES_WITHOUT_PAUSE, MAX_BYTES_WITHOUT_PROGRESS, ReadBudget, ReadStep,
};

/// Bytes of one read.
const PIECE: usize = 4 << 10;

/// Reads a number of pieces, with a part of a body after each `part_every` of them, and returns how many
/// pauses were made; `None` if the connection was closed.
fn read(pieces: usize, part_every: usize) -> Option<usize> {
    let mut budget = ReadBudget::new(MAX_BYTES_WITHOUT_PROGRESS);
    let mut pauses = 0;
    for piece in 1..=pieces {
        match budget.next_step() {
            ReadStep::Read => {}
            ReadStep::Pause => pauses += 1,
            ReadStep::Fail => return None,
        }
        budget.record_read(PIECE);
        if piece % part_every == 0 {
            budget.record_content(part_every * PIECE);
        }
    }
    Some(pauses)
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    // A decoder took bytes for ever that are no part of a message.
    bytes_without_progress_close_the_connection => {
        let most = MAX_BYTES_WITHOUT_PROGRESS / PIECE;
        assert!(read(most, usize::MAX).is_some());
        assert!(read(most + 2, usize::MAX).is_none());
    }

    // A decoder kept its thread as long as the socket had more.
    other_tasks_go_first_from_time_to_time_also_where_there_is_progress => {
        let (pieces, per_pause) = (1_000, MAX_BYTES_WITHOUT_PAUSE / PIECE);
        assert_eq!(read(pieces, 1), Some((pieces - 1) / per_pause));
    }

    // They took as much processor time as all other requests together.
    chunks_of_one_byte_close_the_connection => {
        let chunk = "1\r\nx\r\n".len();
        let mut budget = ReadBudget::new(MAX_BYTES_WITHOUT_PROGRESS);
        let read = (0..1_000_000).find(|_| {
            budget.record_read(chunk);
            budget.record_content(1);
            budget.is_exceeded()
        });
        assert!(read.is_some_and(|chunks| chunks > 50_000), "{read:?}");
    }

    chunks_of_eight_bytes_are_read => {
        let chunk = "8\r\nxxxxxxxx\r\n".len();
        let mut budget = ReadBudget::new(MAX_BYTES_WITHOUT_PROGRESS);
        for _ in 0..1_000_000 {
            budget.record_read(chunk);
            budget.record_content(8);
        }
        assert!(!budget.is_exceeded());
    }

    a_body_of_any_length_is_read_while_its_parts_arrive => {
        assert!(read(100_000, MAX_BYTES_WITHOUT_PROGRESS / PIECE).is_some());
    }

    a_reader_that_waits_for_bytes_need_not_pause => {
        let mut budget = ReadBudget::new(usize::MAX);
        for _ in 0..100 {
            budget.record_read(MAX_BYTES_WITHOUT_PAUSE - 1);
            budget.record_wait();
            assert_eq!(budget.next_step(), ReadStep::Read);
        }
    }

    a_closed_connection_stays_closed => {
        let mut budget = ReadBudget::new(10);
        budget.record_read(11);
        budget.record_head();
        assert_eq!(budget.next_step(), ReadStep::Fail);
    }
}

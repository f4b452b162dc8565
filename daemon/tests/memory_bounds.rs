//! Tests how the bounds on clients follow the memory of the process, for the smallest host.

use pomelotide_daemon::{ByteSize, ClientBounds, FreedMemory, MemoryBounds, MemoryReturn};

const LEAST: ClientBounds = ClientBounds {
    connections: 128,
    unfinished_bytes: 2 << 20,
};
const MOST: ClientBounds = ClientBounds {
    connections: 768,
    unfinished_bytes: 24 << 20,
};

fn held(connections: usize, unfinished_mib: u64) -> ClientBounds {
    ClientBounds {
        connections,
        unfinished_bytes: unfinished_mib << 20,
    }
}

/// Returns the bounds of a host of 120 MiB whose process takes this much.
fn bounds_at(resident_mib: u64, held: ClientBounds) -> ClientBounds {
    let connection = ByteSize(32 * 1_024);
    let memory = MemoryBounds::new(ByteSize::from_mib(120), connection, LEAST, MOST);
    memory.at(ByteSize::from_mib(resident_mib), held)
}

/// Load: a crowd on a daemon that has the host to itself.
#[test]
fn a_daemon_without_a_table_gives_clients_their_whole_part() {
    assert_eq!(bounds_at(9, held(128, 2)), MOST);
    assert_eq!(bounds_at(60, held(700, 22)), MOST);
}

/// Load: a crowd on a leader whose table takes nearly all of the host.
#[test]
fn a_leader_with_a_large_table_serves_few_clients_and_never_none() {
    let slightly_more = ClientBounds {
        unfinished_bytes: (2 << 20) + (3 << 19),
        ..held(128 + 24, 0)
    };
    assert_eq!(bounds_at(93, held(128, 2)), slightly_more);
    assert_eq!(bounds_at(96, held(128, 2)), LEAST);
    assert_eq!(bounds_at(200, held(700, 20)), LEAST);
}

/// Load: the table grows while a crowd is open, by 4 MiB beyond what the process may take.
#[test]
fn clients_give_back_what_the_process_takes_too_much() {
    assert_eq!(bounds_at(100, held(700, 20)), held(700 - 128, 16));
}

#[test]
fn a_size_round_trips() {
    for (text, bytes) in [
        ("0 B", 0),
        ("1023 B", 1_023),
        ("93444 kB", 93_444 << 10),
        ("24 MiB", 24 << 20),
        ("3 GiB", 3 << 30),
    ] {
        let size: ByteSize = text.parse().expect("a size");
        assert_eq!((size, size.to_string().as_str()), (ByteSize(bytes), text));
    }
    for invalid in ["", "12", "12 pages", "-1 B", "99999999999999 GiB"] {
        assert!(invalid.parse::<ByteSize>().is_err(), "{invalid}");
    }
}

/// Load: a crowd that ends, and one that stays at its bounds while the process takes too much.
#[test]
fn freed_memory_is_returned_after_a_crowd_and_when_memory_is_short() {
    let mib = ByteSize::from_mib;
    let mut memory = MemoryReturn::default();
    assert_eq!(memory.next(mib(40), false, 0), FreedMemory::Keep);
    assert_eq!(memory.next(mib(33), false, 250), FreedMemory::Keep);
    assert_eq!(memory.next(mib(32), false, 500), FreedMemory::Return);
    assert_eq!(memory.next(mib(2), false, 1_250), FreedMemory::Keep);
    assert_eq!(memory.next(mib(2), false, 1_500), FreedMemory::Return);
    assert_eq!(memory.next(mib(2), false, 9_000), FreedMemory::Keep);
    assert_eq!(memory.next(mib(2), true, 9_250), FreedMemory::Return);
    assert_eq!(memory.next(mib(2), true, 9_500), FreedMemory::Keep);
}

//! Tests which connections are closed for which load of clients that exceed limits.

use pomelotide_daemon::{
    Admission, BudgetLimits, ClientBounds, ClientBudget, ConnectionId, HostLimits, Segments,
    ShedReason,
};

fn budget(connections: usize, unfinished_bytes: u64) -> ClientBudget {
    ClientBudget::new(BudgetLimits {
        connections,
        unfinished_bytes,
        head_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
        min_body_bytes_per_s: 1_000,
    })
}

fn open(budget: &mut ClientBudget, now_ms: u64) -> ConnectionId {
    match budget.admit(now_ms) {
        Admission::Admit(id) => id,
        other => panic!("{other:?}"),
    }
}

/// Load: unfinished bodies fill the budget. A request that has just begun is served, the old ones go.
#[test]
fn the_request_that_holds_most_for_longest_is_shed() {
    let mut budget = budget(10, 1_000);
    let (small, large, new) = (
        open(&mut budget, 0),
        open(&mut budget, 0),
        open(&mut budget, 5_000),
    );
    assert_eq!(budget.receive(small, 100, 0), None);
    assert_eq!(budget.receive(large, 800, 0), None);
    assert_eq!(budget.receive(new, 900, 5_000), Some(large));
    assert_eq!(budget.receive(new, 50, 5_001), Some(small));
    assert_eq!(budget.unfinished_bytes(), 950);
}

/// Load: all bytes belong to requests that wait for their answers; only the new request can be refused.
#[test]
fn a_request_that_was_passed_on_is_never_shed() {
    let mut budget = budget(2, 1_000);
    let (first, second) = (open(&mut budget, 0), open(&mut budget, 0));
    budget.receive(first, 1_000, 0);
    assert!(budget.pass_on(first, 0));
    assert_eq!(budget.receive(second, 1, 9_000), Some(second));
    assert!(!budget.pass_on(second, 9_000), "it was closed");
    let second = open(&mut budget, 9_000);
    assert!(budget.pass_on(second, 9_000));
    assert_eq!(budget.admit(9_000), Admission::Refuse);
    assert_eq!(budget.close_overdue(900_000), []);
    budget.answer(first, 900_000);
    assert_eq!(budget.unfinished_bytes(), 0);
}

/// Load: idle connections up to the limit; new ones replace the oldest.
#[test]
fn the_oldest_connection_makes_room() {
    let mut budget = budget(2, 1_000);
    let (first, second) = (open(&mut budget, 0), open(&mut budget, 1));
    budget.receive(first, 10, 2);
    assert!(matches!(budget.admit(102), Admission::AdmitAndClose(_, closed) if closed == second));
    assert_eq!(budget.connections(), 2);
}

/// Load: heads, bodies and connections that stop, and a body of a byte a second.
#[test]
fn what_does_not_go_on_is_closed() {
    let mut budget = budget(10, 1_000_000);
    let ids: Vec<_> = (0..4).map(|_| open(&mut budget, 0)).collect();
    for id in &ids[1..] {
        budget.receive(*id, 10, 0);
    }
    for id in &ids[2..] {
        budget.end_head(*id, 0);
    }
    assert_eq!(budget.close_overdue(3_000), []);
    assert_eq!(
        budget.close_overdue(3_001),
        [(ids[1], ShedReason::HeadTimeout)]
    );
    budget.receive(ids[3], 1, 15_000);
    let idle = |at: usize| (ids[at], ShedReason::Idle);
    assert_eq!(
        budget.close_overdue(15_001),
        [idle(0), idle(2), (ids[3], ShedReason::SlowBody)]
    );
    assert_eq!(budget.unfinished_bytes(), 0);
}

/// A client at the edge of the rules: the largest body at the minimum rate.
#[test]
fn a_body_at_the_minimum_rate_is_served() {
    let mut budget = budget(10, 1_000_000);
    let id = open(&mut budget, 0);
    budget.receive(id, 10, 0);
    budget.end_head(id, 0);
    for second in 1..=262 {
        assert_eq!(budget.receive(id, 1_000, second * 1_000), None);
        assert_eq!(budget.close_overdue(second * 1_000), []);
    }
    assert!(budget.pass_on(id, 263_000));
}

/// Load: up to 300 clients with jobs of a few KB, and bodies of the largest size, must not meet a bound.
#[test]
fn the_bounds_of_the_smallest_host_have_room_for_its_clients() {
    let smallest = HostLimits::default().clients();
    assert_eq!(smallest.connections, 768);
    assert_eq!(smallest.unfinished_bytes, 20 << 20);
    let (memory_mb, max_fds) = (512, 8_192);
    let largest = HostLimits { memory_mb, max_fds }.clients();
    assert_eq!(largest.connections, 3_276);
    assert_eq!(largest.unfinished_bytes, 512 * (1 << 20) / 6);
}

/// Load: new connections without end, beside callers that were served before.
#[test]
fn connections_that_were_served_outlast_those_that_never_were() {
    let mut budget = budget(4, 1_000);
    let callers = [open(&mut budget, 0), open(&mut budget, 0)];
    for id in callers {
        budget.receive(id, 10, 1);
        assert!(budget.pass_on(id, 1));
        budget.answer(id, 1);
    }
    let mut newest = [open(&mut budget, 2), open(&mut budget, 2)];
    for at in 1..100 {
        let Admission::AdmitAndClose(id, closed) = budget.admit(200 * at) else {
            panic!("no connection is closed");
        };
        assert_eq!(closed, newest[0]);
        newest = [newest[1], id];
    }
}

/// Load: as many served connections as fit, which stay open; a new caller still gets in and is served.
#[test]
fn served_connections_do_not_keep_others_out() {
    let mut budget = budget(4, 1_000);
    let served: Vec<_> = (0..4).map(|at| open(&mut budget, at)).collect();
    for id in &served {
        budget.receive(*id, 10, 10);
        assert!(budget.pass_on(*id, 10));
        budget.answer(*id, 10);
    }
    assert!(
        matches!(budget.admit(200), Admission::AdmitAndClose(_, closed) if closed == served[0])
    );
    assert!(
        matches!(budget.admit(201), Admission::AdmitAndClose(_, closed) if closed == served[1])
    );
}

/// Load: new connections faster than any of them can bring its request.
#[test]
fn a_connection_that_has_just_opened_is_not_closed_for_the_next_one() {
    let mut budget = budget(2, 1_000);
    let (first, second) = (open(&mut budget, 0), open(&mut budget, 1));
    assert_eq!(budget.admit(99), Admission::Refuse);
    budget.receive(first, 10, 99);
    assert_eq!(budget.admit(100), Admission::Refuse);
    assert!(matches!(budget.admit(101), Admission::AdmitAndClose(_, closed) if closed == second));
}

/// Load: whole requests without end. One that is complete waits for its turn and is not closed for others, but
/// only half of the connections have a request that was passed on.
#[test]
fn complete_requests_wait_for_half_of_the_connections() {
    let mut budget = budget(4, 1_000);
    let ids: Vec<_> = (0..4).map(|_| open(&mut budget, 0)).collect();
    for id in &ids[..2] {
        assert!(!budget.passes_on_many());
        assert!(budget.pass_on(*id, 0));
    }
    assert!(budget.passes_on_many());
    budget.complete(ids[2], 0);
    assert!(matches!(budget.admit(1_000), Admission::AdmitAndClose(_, closed) if closed == ids[3]));
    assert_eq!(budget.admit(1_000), Admission::Refuse);
    budget.answer(ids[0], 1_000);
    assert!(!budget.passes_on_many());
    budget.close(ids[1]);
    assert!(budget.pass_on(ids[2], 1_000));
    assert!(!budget.passes_on_many());
}

/// Load: connections that were closed still hold their memory while others bring more.
#[test]
fn others_wait_until_closed_connections_hold_no_memory() {
    let mut budget = budget(4, 1_600);
    let (old, new) = (open(&mut budget, 0), open(&mut budget, 0));
    assert_eq!(budget.receive(old, 1_500, 0), None);
    assert_eq!(budget.receive(new, 200, 900), Some(old));
    assert!(budget.make_room(900).is_empty());
    assert!(!budget.may_receive(100));
    budget.close(old);
    assert!(budget.may_receive(100));
}

/// Load: a crowd is open when the rest of the process takes more memory.
#[test]
fn tighter_bounds_close_the_oldest_and_the_largest() {
    let mut budget = budget(10, 10_000);
    let ids: Vec<_> = (0..6).map(|at| open(&mut budget, at)).collect();
    for (at, id) in ids.iter().enumerate() {
        budget.receive(*id, 100 * (at as u64 + 1), 10);
    }
    assert!(budget.pass_on(ids[0], 10));
    let bounds = ClientBounds {
        connections: 5,
        unfinished_bytes: 1_000,
    };
    assert_eq!(budget.set_bounds(bounds, 20), [ids[1], ids[5], ids[4]]);
    assert_eq!(budget.held().connections, 3);
    assert_eq!(budget.unfinished_bytes(), 800);
    assert!(!budget.is_full() && !budget.exceeds(200) && budget.exceeds(201));
}

#[test]
fn segments_keep_the_bytes_in_order() {
    let bytes: Vec<u8> = (0..100_000_u32).map(|at| (at % 251) as u8).collect();
    for piece_bytes in [1, 7_000, 16_384, 100_000] {
        let mut segments = Segments::default();
        bytes
            .chunks(piece_bytes)
            .for_each(|piece| segments.push(piece));
        assert_eq!(segments.into_vec(), bytes, "{piece_bytes}");
    }
}

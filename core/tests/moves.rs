//! Parts of limits that move toward demand: never above the limit, whatever is cut, lost or paused.

mod config_fakes;

use config_fakes::{big_queue, key, note, queue, slots, team, withdrawal, Fakes};
use pomelotide_core::{
    consts::{CONFIG_ACTIVATION_DELAY_MS, LIMIT_TRANSFER_INTERVAL_MS},
    limit_transfers::{split_entries, LimitRequest, LimitTransfer},
    Answer, DomainName, Entry, EntryName, Event, FaultKind, Limits, Millis, Note, NoteFault,
    NoteVerdict, PeerMessage, Revision, TeamName,
};

const LIMIT: u64 = 12;

fn t() -> TeamName {
    TeamName::new("t")
}

fn entries(domains: &[&str]) -> Vec<Entry> {
    let domains = domains
        .iter()
        .map(|name| Entry::Domain(DomainName::new(name)));
    let mut entries = vec![team("t", LIMIT), key("k", "t"), queue("q", None)];
    entries.extend(domains);
    entries
}

/// Starts two failure domains of two daemons each; the limit is split into 6 and 6.
fn two_domains() -> Fakes {
    let mut fakes = Fakes::start(&["a-1", "b-1", "a-2", "b-2"]);
    fakes.settle(entries(&["a", "b"]));
    fakes
}

fn ask(fakes: &mut Fakes, at: usize, count: usize) {
    for _ in 0..count {
        fakes.request(at, "k", "q");
    }
}

fn spendable(fakes: &Fakes, at: usize) -> u64 {
    fakes.nodes[at].core.usable_allotment_here(&t()).slots
}

/// Lets time pass in rounds, and checks after each that the first two daemons, the keepers of
/// their domains, may together spend no more than the limit, and that no more runs.
fn run_checked(fakes: &mut Fakes, span_ms: u64) {
    for _ in 0..span_ms / 50 {
        fakes.run(50);
        let held: u64 = (0..2)
            .map(|at| spendable(fakes, at).max(fakes.running_at(at) as u64))
            .sum();
        assert!(held <= LIMIT, "{held} held at {}", fakes.nodes[0].clock_ms);
    }
    assert!(fakes.most_running <= LIMIT, "{} ran", fakes.most_running);
}

#[test]
fn blocked_work_gets_what_is_spare_elsewhere() {
    let mut fakes = two_domains();
    ask(&mut fakes, 0, 10);
    run_checked(&mut fakes, 1_000);
    assert_eq!(fakes.running_at(0), 6);
    run_checked(&mut fakes, 12_000);
    assert_eq!(fakes.running_at(0), 10);
    assert_eq!(fakes.moves(), 1);
    // The demand turns round.
    fakes.finish(0, 10);
    ask(&mut fakes, 1, 11);
    run_checked(&mut fakes, 15_000);
    assert_eq!(fakes.running_at(1), 11);
}

#[test]
fn a_note_based_before_a_move_is_in_force_as_the_revision_after_it() {
    let mut fakes = two_domains();
    ask(&mut fakes, 0, 10);
    run_checked(&mut fakes, 13_000);
    assert_eq!((fakes.moves(), fakes.revision(1)), (1, 2));
    let change = |id, limit| Note {
        changed: vec![team("t", limit)],
        ..note(id, 1, Vec::new())
    };
    let calls = [
        fakes.propose(0, change("one", LIMIT)),
        fakes.propose(1, change("other", LIMIT - 1)),
    ];
    run_checked(&mut fakes, 12_000);
    let verdicts = [0, 1].map(|at| fakes.answer(at, calls[at]).cloned());
    let winner = verdicts
        .iter()
        .position(|verdict| *verdict == Some(Answer::Note(NoteVerdict::InForce(Revision(3)))));
    let winner = winner.unwrap_or_else(|| panic!("{verdicts:?}"));
    let fault = NoteFault {
        entry: EntryName::Team(t()),
        kind: FaultKind::ChangedSince(Revision(3)),
    };
    let rejected = Answer::Note(NoteVerdict::Rejected(vec![fault]));
    assert_eq!(verdicts[1 - winner], Some(rejected));
    for node in &fakes.nodes {
        let applied: Vec<&str> = node
            .core
            .config()
            .history()
            .filter(|(revision, _)| *revision != Revision(2))
            .map(|(_, id)| id.as_str())
            .collect();
        assert_eq!(applied.first(), Some(&["one", "other"][winner]));
        assert_eq!(applied.len(), 2, "{applied:?}");
    }
}

#[test]
fn a_giver_keeps_what_its_own_work_needs() {
    let mut fakes = two_domains();
    ask(&mut fakes, 1, 5);
    ask(&mut fakes, 0, 20);
    run_checked(&mut fakes, 30_000);
    assert_eq!([fakes.running_at(0), fakes.running_at(1)], [7, 5]);
}

#[test]
fn a_giver_keeps_what_its_waiting_work_is_too_large_for() {
    let mut fakes = Fakes::start(&["a-1", "b-1"]);
    let mut all = entries(&["a", "b"]);
    all.push(big_queue("big", 4));
    fakes.settle(all);
    ask(&mut fakes, 0, 8);
    fakes.request(1, "k", "big");
    fakes.request(1, "k", "big");
    run_checked(&mut fakes, 30_000);
    assert_eq!(spendable(&fakes, 1), 6);
    assert_eq!(fakes.moves(), 0);
}

#[test]
fn a_move_leaves_the_other_domains_parts_as_they_are() {
    let mut config = pomelotide_core::Config::default();
    config.apply(&note("first", 0, entries(&["a", "b", "c"])));
    let domains = ["a", "b", "c"].map(DomainName::new);
    for (id, from, to) in [("one", 0, 1), ("two", 2, 1)] {
        let part = LimitTransfer {
            team: t(),
            to: domains[to].clone(),
            amount: slots(1),
        };
        let changed = split_entries(&config, &domains[from], &[part]);
        let base = config.revision().0;
        config.apply(&Note {
            changed,
            ..note(id, base, Vec::new())
        });
    }
    let parts = domains.map(|domain| config.allotment(&t(), &domain).slots);
    assert_eq!(parts, [3, 6, 3]);
}

#[test]
fn a_larger_part_counts_only_after_the_wait() {
    let mut fakes = two_domains();
    ask(&mut fakes, 0, 10);
    while fakes.moves() == 0 {
        run_checked(&mut fakes, 50);
    }
    let moved_ms = fakes.nodes[0].clock_ms;
    while fakes.running_at(0) == 6 {
        run_checked(&mut fakes, 50);
        assert!(fakes.nodes[0].clock_ms < moved_ms + 10_000);
    }
    assert!(fakes.nodes[0].clock_ms >= moved_ms + CONFIG_ACTIVATION_DELAY_MS.0);
}

#[test]
fn an_increase_that_is_cut_back_starts_its_wait_anew() {
    let mut config = pomelotide_core::Config::default();
    let (a, b) = (DomainName::new("a"), DomainName::new("b"));
    config.apply(&note("first", 0, entries(&["a", "b"])));
    let mut limits = Limits::default();
    limits.update(&config, &a, Millis(0));
    limits.apply_due_increases(CONFIG_ACTIVATION_DELAY_MS);
    let split = |config: &mut pomelotide_core::Config, id, amount| {
        let parts = vec![
            (a.clone(), slots(amount)),
            (b.clone(), slots(LIMIT - amount)),
        ];
        let changed = vec![Entry::Split { team: t(), parts }];
        let base = config.revision().0;
        config.apply(&Note {
            changed,
            ..note(id, base, Vec::new())
        });
    };
    split(&mut config, "more", 10);
    limits.update(&config, &a, Millis(10_000));
    assert_eq!(limits.spendable(&t()), slots(6));
    split(&mut config, "less", 8);
    limits.update(&config, &a, Millis(14_000));
    limits.apply_due_increases(Millis(10_000) + CONFIG_ACTIVATION_DELAY_MS);
    assert_eq!(limits.spendable(&t()), slots(6));
    limits.apply_due_increases(Millis(14_000) + CONFIG_ACTIVATION_DELAY_MS);
    assert_eq!(limits.spendable(&t()), slots(8));
    split(&mut config, "least", 1);
    limits.update(&config, &a, Millis(20_000));
    assert_eq!(limits.spendable(&t()), slots(1));
}

#[test]
fn a_domain_that_is_cut_keeps_what_it_holds() {
    let mut fakes = two_domains();
    fakes.nodes[1].cut = true;
    fakes.nodes[3].cut = true;
    ask(&mut fakes, 0, 10);
    run_checked(&mut fakes, 60_000);
    assert_eq!(fakes.running_at(0), 6);
    assert_eq!(spendable(&fakes, 1), 6);
    assert_eq!(fakes.moves(), 0);
}

#[test]
fn a_giver_cut_in_the_middle_of_a_move_spends_nothing_of_it() {
    let mut fakes = two_domains();
    ask(&mut fakes, 0, 10);
    fakes.nodes[1].hold_writes = true;
    while !fakes.holds_move(1) {
        run_checked(&mut fakes, 50);
    }
    // The write takes effect, its answer is lost, and the giver's domain is cut off.
    fakes.land_held_writes(1);
    fakes.nodes[1].cut = true;
    fakes.nodes[3].cut = true;
    ask(&mut fakes, 1, 6);
    run_checked(&mut fakes, 20_000);
    assert_eq!(fakes.running_at(0), 10);
    assert_eq!(fakes.running_at(1), 2);
    fakes.nodes[1].cut = false;
    fakes.nodes[3].cut = false;
    run_checked(&mut fakes, 20_000);
    assert_eq!(spendable(&fakes, 1), 2);
}

#[test]
fn a_giver_that_was_replaced_while_paused_gives_nothing() {
    let mut fakes = two_domains();
    ask(&mut fakes, 0, 10);
    fakes.nodes[1].hold_writes = true;
    while !fakes.holds_move(1) {
        run_checked(&mut fakes, 50);
    }
    fakes.nodes[1].paused = true;
    ask(&mut fakes, 3, 6);
    fakes.run(6_000);
    assert_eq!(
        fakes.running_at(3),
        6,
        "the new keeper spends the whole part"
    );
    fakes.land_held_writes(1);
    fakes.nodes[1].paused = false;
    fakes.run(20_000);
    assert!(fakes.most_running <= LIMIT, "{} ran", fakes.most_running);
    assert_eq!(fakes.moves(), 0);
}

#[test]
fn a_new_keeper_spends_nothing_that_the_one_before_gave_away() {
    let mut fakes = two_domains();
    ask(&mut fakes, 0, 10);
    fakes.nodes[3].lagging = Some(fakes.rows.clone());
    while fakes.moves() == 0 {
        run_checked(&mut fakes, 50);
    }
    // The giver dies, and its domain is cut off before the other daemon saw the note.
    fakes.nodes[1].paused = true;
    fakes.nodes[1].cut = true;
    fakes.nodes[3].cut = true;
    ask(&mut fakes, 3, 6);
    fakes.run(20_000);
    assert!(fakes.most_running <= LIMIT, "{} ran", fakes.most_running);
    assert_eq!(fakes.running_at(0), 10);
    fakes.nodes[3].lagging = None;
    fakes.nodes[3].cut = false;
    fakes.run(20_000);
    assert_eq!(
        fakes.running_at(3),
        2,
        "served as soon as the note is known"
    );
}

#[test]
fn a_lost_move_that_never_took_effect_is_taken_back() {
    let mut fakes = two_domains();
    ask(&mut fakes, 0, 10);
    fakes.nodes[1].hold_writes = true;
    while !fakes.holds_move(1) {
        run_checked(&mut fakes, 50);
    }
    assert_eq!(spendable(&fakes, 1), 2);
    fakes.drop_held_writes(1);
    // An operator's note moves the head on.
    fakes.propose(0, note("other", 1, vec![team("u", 1)]));
    run_checked(&mut fakes, 30_000);
    assert_eq!(fakes.running_at(0), 10, "given by a second note");
    assert_eq!(fakes.moves(), 1);
}

#[test]
fn a_lost_move_that_can_take_effect_no_more_is_taken_back() {
    let mut fakes = two_domains();
    ask(&mut fakes, 0, 10);
    fakes.nodes[1].hold_writes = true;
    while !fakes.holds_move(1) {
        run_checked(&mut fakes, 50);
    }
    fakes.drop_held_writes(1);
    // A group commit moves the keeper's row on, while the head stays.
    fakes.request_of(1, "k", "q", false);
    run_checked(&mut fakes, 30_000);
    assert_eq!(fakes.running_at(0), 10, "given by a second note");
    assert_eq!(fakes.moves(), 1);
}

#[test]
fn parts_of_a_team_with_an_open_queue_never_move() {
    let mut fakes = Fakes::start(&["a-1", "b-1"]);
    let mut all = entries(&["a", "b"]);
    all.push(queue("open", Some("t")));
    fakes.settle(all);
    ask(&mut fakes, 0, 10);
    run_checked(&mut fakes, 30_000);
    assert_eq!(fakes.running_at(0), 6);
    assert_eq!(fakes.moves(), 0);
}

#[test]
fn all_domains_together_write_few_moves() {
    let mut fakes = Fakes::start(&["a-1", "b-1", "c-1", "d-1"]);
    let mut all = entries(&["a", "b", "c", "d"]);
    all.push(team("u", 4_000));
    fakes.settle(all);
    let before_ms = fakes.nodes[0].clock_ms;
    // Every domain misses a little in each round, and the others have it.
    for _ in 0..600 {
        for (from, to) in [(0, 1), (1, 2), (2, 3), (3, 0)] {
            let requests = vec![LimitRequest {
                team: TeamName::new("u"),
                amount: slots(1),
            }];
            let message = PeerMessage::LimitRequests {
                revision: Revision(u64::MAX),
                requests,
            };
            let from = fakes.nodes[from].id.clone();
            fakes.step(to, Event::PeerHeard { from, message });
        }
        fakes.run(50);
    }
    let span_ms = fakes.nodes[0].clock_ms - before_ms;
    assert!(fakes.moves() > 0);
    let most = span_ms / LIMIT_TRANSFER_INTERVAL_MS.0 + 1;
    assert!(fakes.moves() as u64 <= most, "{} moves", fakes.moves());
}

/// Moves 4 slots from b to a and ends all work.
fn moved() -> Fakes {
    let mut fakes = two_domains();
    ask(&mut fakes, 0, 10);
    run_checked(&mut fakes, 15_000);
    fakes.finish(0, 10);
    run_checked(&mut fakes, 1_000);
    assert_eq!([spendable(&fakes, 0), spendable(&fakes, 1)], [10, 2]);
    fakes
}

fn in_force(fakes: &mut Fakes, note: Note) {
    let call = fakes.propose(0, note);
    fakes.run(12_000);
    let answer = fakes.answer(0, call);
    let accepted = matches!(answer, Some(Answer::Note(NoteVerdict::InForce(_))));
    assert!(accepted, "{answer:?}");
}

#[test]
fn an_operator_changes_a_limit_without_knowing_of_moves() {
    let mut fakes = moved();
    for (id, limit, parts) in [("lower", 6, [5, 1]), ("raise", 24, [20, 4])] {
        let changed = vec![team("t", limit)];
        let base = fakes.revision(0);
        in_force(
            &mut fakes,
            Note {
                changed,
                ..note(id, base, Vec::new())
            },
        );
        assert_eq!([spendable(&fakes, 0), spendable(&fakes, 1)], parts);
    }
}

#[test]
fn an_operator_withdraws_a_team_or_splits_it_by_hand_without_knowing_of_moves() {
    let mut fakes = moved();
    let parts = [("a", 1), ("b", 5)].map(|(domain, amount)| Entry::Allotment {
        team: t(),
        domain: DomainName::new(domain),
        amount: slots(amount),
    });
    // The base is from before the moves.
    in_force(&mut fakes, note("by-hand", 1, parts.to_vec()));
    assert_eq!([spendable(&fakes, 0), spendable(&fakes, 1)], [1, 5]);
    ask(&mut fakes, 0, 3);
    fakes.run(20_000);
    assert_eq!(fakes.running_at(0), 1, "a split by hand never moves");
    assert_eq!(fakes.moves(), 1);
    let mut fakes = moved();
    let mut gone = withdrawal("gone", 1, EntryName::Team(t()));
    gone.withdrawn.push(key("k", "t").name());
    in_force(&mut fakes, gone);
    assert!(fakes.nodes[0].core.config().split(&t()).is_empty());
}

#[test]
fn an_accepted_operators_note_during_moves_keeps_its_revision() {
    let mut fakes = two_domains();
    ask(&mut fakes, 0, 10);
    for number in 0..20 {
        let name = format!("extra-{number}");
        fakes.propose(1, note(&name, 1, vec![team(&name, 1)]));
        run_checked(&mut fakes, 1_000);
    }
    run_checked(&mut fakes, 12_000);
    let verdicts = fakes.nodes[1].answers.iter();
    let accepted = verdicts.filter(|(_, answer)| {
        matches!(answer, Answer::Note(NoteVerdict::InForce(revision)) if *revision > Revision(1))
    });
    assert_eq!(accepted.count(), 20);
    assert_eq!(fakes.running_at(0), 10);
}

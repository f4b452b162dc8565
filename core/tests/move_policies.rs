//! Two policies of moving limits toward demand, on the same demand.
//!
//! The one in use answers wants (pull on demand); the other pushes spare parts ahead of wants,
//! by the ratio of demand to supply.

use pomelotide_core::{
    consts::{
        CONFIG_ACTIVATION_DELAY_MS, CONFIG_POLL_INTERVAL_MS, LIMIT_REQUEST_INTERVAL_MS,
        LIMIT_TRANSFER_INTERVAL_MS, MAX_TRANSFERS_PER_NOTE,
    },
    limit_transfers::{grant_requests, split_entries, LimitRequest, LimitTransfer},
    Config, DomainName, Entry, Note, NoteId, Resources, Revision, TeamName,
};
use std::collections::BTreeMap;

const DOMAINS: usize = 10;
const TEAMS: usize = 120;
/// The users' target for all of a daemon's control traffic.
const CONTROL_BYTES_A_SECOND: u64 = 19_000;
const LIMIT: u64 = 400;
const SECONDS: u64 = 3_600;
/// The seconds from the note to its parts' counting at their new holder.
const ARRIVAL_SECONDS: u64 =
    (CONFIG_POLL_INTERVAL_MS.0 + CONFIG_ACTIVATION_DELAY_MS.0).div_ceil(1_000);
/// The part of the running tasks that end in a second, as one of so many.
const ENDING: u64 = 20;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    None,
    Pull,
    Push { threshold_percent: u64 },
}

#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    blocked_slot_seconds: u64,
    notes: u64,
    note_bytes: u64,
    message_bytes: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    demand: u64,
    running: u64,
    spendable: u64,
}

struct Rng(u64);

impl Rng {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

struct Bench {
    config: Config,
    cells: Vec<Vec<Cell>>,
    arriving: Vec<(u64, usize, usize, u64)>,
    cost: Cost,
}

fn domain(at: usize) -> DomainName {
    DomainName::new(format!("d{at}"))
}

fn team(at: usize) -> TeamName {
    TeamName::new(format!("t{at:03}"))
}

fn place(domain: &DomainName) -> usize {
    domain.as_str()[1..].parse().unwrap_or(0)
}

fn index(team: &TeamName) -> usize {
    team.as_str()[1..].parse().unwrap_or(0)
}

fn slots(slots: u64) -> Resources {
    Resources {
        slots,
        ..Resources::default()
    }
}

fn note(id: u64, added: Vec<Entry>, changed: Vec<Entry>) -> Note {
    Note {
        id: NoteId::new(format!("move-{id}")),
        base: Revision(id),
        added,
        changed,
        withdrawn: Vec::new(),
    }
}

fn size(value: &impl serde::Serialize) -> u64 {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_or(0, |()| bytes.len() as u64)
}

impl Bench {
    fn new() -> Self {
        let teams = (0..TEAMS).map(|at| Entry::Team {
            name: team(at),
            share: 1,
            limit: slots(LIMIT),
        });
        let domains = (0..DOMAINS).map(|at| Entry::Domain(domain(at)));
        let mut config = Config::default();
        config.apply(&note(0, domains.chain(teams).collect(), Vec::new()));
        let spendable = LIMIT / DOMAINS as u64;
        let cell = Cell {
            spendable,
            ..Cell::default()
        };
        Self {
            config,
            cells: vec![vec![cell; TEAMS]; DOMAINS],
            arriving: Vec::new(),
            cost: Cost::default(),
        }
    }

    /// Sets the demand of one second: each team has a home that wanders, a steady part everywhere
    /// and bursts of some minutes at any domain; all together stay below its limit.
    fn demand(&mut self, second: u64, rng: &mut Rng) {
        for at in 0..TEAMS {
            let home = (at + (second / 900) as usize) % DOMAINS;
            for (place, row) in self.cells.iter_mut().enumerate() {
                let cell = &mut row[at];
                let steady = if place == home { 160 } else { 10 };
                let change = second.is_multiple_of(180);
                if change || second == 0 {
                    let burst = if rng.below(20) == 0 { 60 } else { 0 };
                    cell.demand = steady / 2 + rng.below(steady) + burst;
                }
            }
        }
    }

    fn run_tasks(&mut self) {
        for at in 0..TEAMS {
            let mut blocked = 0;
            for row in &mut self.cells {
                let cell = &mut row[at];
                let ending = cell.running.div_ceil(ENDING);
                let kept = cell.running - ending.min(cell.running.saturating_sub(cell.demand));
                cell.running = kept.max(cell.demand.min(cell.spendable));
                blocked += cell.demand.saturating_sub(cell.running);
            }
            let running: u64 = self.cells.iter().map(|row| row[at].running).sum();
            assert!(running <= LIMIT, "team {at} over its limit");
            // What no split of the limit could run is not the split's fault.
            self.cost.blocked_slot_seconds += blocked.min(LIMIT - running);
        }
    }

    fn arrive(&mut self, second: u64) {
        let due = |part: &mut (u64, usize, usize, u64)| part.0 <= second;
        for (_, place, at, amount) in self.arriving.extract_if(.., due) {
            self.cells[place][at].spendable += amount;
        }
    }

    fn on_the_way(&self, place: usize, at: usize) -> u64 {
        let parts = self.arriving.iter();
        let mine = parts.filter(|(_, to, of, _)| (*to, *of) == (place, at));
        mine.map(|(.., amount)| amount).sum()
    }

    fn wants(&self) -> BTreeMap<DomainName, Vec<LimitRequest>> {
        let wants = |place: usize| {
            let want = |at: usize| {
                let cell = &self.cells[place][at];
                let held = cell.spendable + self.on_the_way(place, at);
                let missing = cell.demand.saturating_sub(held);
                (missing > 0).then(|| LimitRequest {
                    team: team(at),
                    amount: slots(missing),
                })
            };
            (0..TEAMS).filter_map(want).collect()
        };
        (0..DOMAINS).map(|at| (domain(at), wants(at))).collect()
    }

    fn spare(&self, place: usize) -> BTreeMap<TeamName, Resources> {
        let spare = |at: usize| {
            let cell = &self.cells[place][at];
            let used = cell.running.max(cell.demand);
            slots(cell.spendable.saturating_sub(used))
        };
        (0..TEAMS).map(|at| (team(at), spare(at))).collect()
    }

    /// Pushes spare parts to where the ratio of demand to supply is highest, whether or not
    /// anything is blocked there, up to the part that the demand would make even.
    fn push(&self, place: usize, threshold_percent: u64) -> Vec<LimitTransfer> {
        let spare = self.spare(place);
        let mut found = Vec::new();
        for at in 0..TEAMS {
            let total: u64 = self.cells.iter().map(|row| row[at].demand).sum();
            let fair = |of: usize| LIMIT * self.cells[of][at].demand / total.max(1);
            let held = |of: usize| self.cells[of][at].spendable + self.on_the_way(of, at);
            let lack = |of: usize| fair(of).saturating_sub(held(of));
            let Some(to) = (0..DOMAINS).max_by_key(|of| lack(*of)) else {
                continue;
            };
            let over = held(place).saturating_sub(fair(place));
            let amount = lack(to).min(over).min(spare[&team(at)].slots);
            if lack(to) * 100 > fair(to) * threshold_percent && amount > 0 && to != place {
                let (team, to, amount) = (team(at), domain(to), slots(amount));
                found.push(LimitTransfer { team, to, amount });
            }
        }
        found.sort_by_key(|part| std::cmp::Reverse(part.amount.slots));
        found.truncate(MAX_TRANSFERS_PER_NOTE);
        found
    }

    /// Counts what the domains tell one another: wants only, or the demand of each active team.
    fn count_messages(&mut self, policy: Policy) {
        let told = match policy {
            Policy::None => return,
            Policy::Pull => {
                let wants = self.wants();
                wants
                    .values()
                    .filter(|wants| !wants.is_empty())
                    .map(size)
                    .sum()
            }
            Policy::Push { .. } => {
                let rows = self.cells.iter();
                let demands = rows.map(|row| {
                    let demands = row.iter().enumerate().map(|(at, cell)| LimitRequest {
                        team: team(at),
                        amount: slots(cell.demand),
                    });
                    size(&demands.collect::<Vec<_>>())
                });
                demands.sum::<u64>()
            }
        };
        self.cost.message_bytes += told * (DOMAINS as u64 - 1);
    }

    fn move_parts(&mut self, second: u64, policy: Policy) {
        if second.is_multiple_of((LIMIT_REQUEST_INTERVAL_MS.0 / 1_000).max(1)) {
            self.count_messages(policy);
        }
        if !second.is_multiple_of(LIMIT_TRANSFER_INTERVAL_MS.0 / 1_000) {
            return;
        }
        // Whichever domain is first with its note goes on; the others wait for the next turn.
        let first = (second / (LIMIT_TRANSFER_INTERVAL_MS.0 / 1_000)) as usize;
        for from in (0..DOMAINS).map(|step| (first + step) % DOMAINS) {
            let moves = match policy {
                Policy::None => Vec::new(),
                Policy::Pull => grant_requests(&self.spare(from), &self.wants()),
                Policy::Push { threshold_percent } => self.push(from, threshold_percent),
            };
            if !moves.is_empty() {
                return self.write(second, from, &moves);
            }
        }
    }

    fn write(&mut self, second: u64, from: usize, moves: &[LimitTransfer]) {
        let entries = split_entries(&self.config, &domain(from), moves);
        let note = note(self.config.revision().0, Vec::new(), entries);
        assert_eq!(self.config.check(&note), []);
        self.config.apply(&note);
        self.cost.notes += 1;
        self.cost.note_bytes += size(&note);
        for part in moves {
            let (at, amount) = (index(&part.team), part.amount.slots);
            self.cells[from][at].spendable -= amount;
            let when = second + ARRIVAL_SECONDS;
            self.arriving.push((when, place(&part.to), at, amount));
        }
    }
}

fn cost_of(policy: Policy) -> Cost {
    let mut bench = Bench::new();
    let mut rng = Rng(0x5eed);
    for second in 0..SECONDS {
        bench.demand(second, &mut rng);
        bench.arrive(second);
        bench.run_tasks();
        bench.move_parts(second, policy);
    }
    println!("{policy:?} {:?}", bench.cost);
    bench.cost
}

/// The bytes that each domain's keeper sends a second.
fn bytes_a_second(cost: Cost) -> u64 {
    cost.message_bytes / SECONDS / DOMAINS as u64
}

#[test]
fn pull_blocks_less_at_less_cost_than_push() {
    let none = cost_of(Policy::None);
    let pull = cost_of(Policy::Pull);
    assert!(pull.blocked_slot_seconds * 10 < none.blocked_slot_seconds);
    assert!(bytes_a_second(pull) < CONTROL_BYTES_A_SECOND / 5);
    assert!(pull.notes <= SECONDS * 1_000 / LIMIT_TRANSFER_INTERVAL_MS.0);
    for threshold_percent in [5, 10, 25] {
        let push = cost_of(Policy::Push { threshold_percent });
        assert!(pull.blocked_slot_seconds < push.blocked_slot_seconds);
        assert!(pull.notes < push.notes);
        assert!(bytes_a_second(push) > CONTROL_BYTES_A_SECOND);
    }
}

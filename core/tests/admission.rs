//! Admission under load, without a network: the decision on a submission, the backlog that it is based on
//! and the places of refused jobs.

#![allow(clippy::unwrap_used)]

use pomelotide_core::{
    cell::{
        decide, Admission, AdmissionGate, AdmissionTable, Backlog, JobDemand, RefusalReason,
        WaitingJob, MAX_LISTED_TEAMS, MAX_TABLE_AGE_MS,
    },
    JobId, Millis, TeamName,
};
use std::collections::BTreeMap;

const SERVICE: &str = "desk";
/// 100 workers of 32 cores.
const CAPACITY_MILLI: u64 = 3_200_000;
/// The work of one small job: 3 tasks of 5 cores for 640 ms.
const JOB_WORK: u64 = 3 * 5_000 * 640;
/// How many small jobs the fleet does a second.
const JOBS_PER_S: u64 = CAPACITY_MILLI * 1_000 / JOB_WORK;
const AGE: Millis = Millis(100);
const START: Millis = Millis(10_000);

fn team(name: &str) -> Option<TeamName> {
    Some(TeamName::new(name))
}

/// Returns a small job whose result is useful for 5 s.
fn demand(name: &str) -> JobDemand {
    JobDemand {
        service: SERVICE.into(),
        team: team(name),
        weight: 10,
        work: JOB_WORK,
        useful_ms: Millis(5_000),
        chain_ms: Millis(640),
        accepted_work: 0,
    }
}

fn waiting(name: &str, useful_start_at: Millis) -> WaitingJob {
    WaitingJob {
        service: SERVICE.into(),
        team: team(name),
        latest_start_at: None,
        useful_start_at,
        work: JOB_WORK,
    }
}

/// Returns a backlog with a number of small jobs for each team, which are useful for another minute.
fn backlog(teams: &[(&str, u64)]) -> Backlog {
    let mut backlog = Backlog::default();
    for (name, jobs) in teams {
        let job = waiting(name, START + Millis(60_000));
        for _ in 0..*jobs {
            backlog.replace(&WaitingJob::default(), &job);
        }
    }
    backlog
}

fn table_of(backlog: &mut Backlog, now: Millis) -> AdmissionTable {
    let capacities = BTreeMap::from([(SERVICE.into(), CAPACITY_MILLI)]);
    backlog.table(now, 1, &capacities, |_| (10, true))
}

fn table(teams: &[(&str, u64)]) -> AdmissionTable {
    table_of(&mut backlog(teams), START)
}

fn is_refused(table: &AdmissionTable, job: &JobDemand) -> bool {
    decide(table, AGE, job) != Admission::Accept
}

/// Load: one team has 20 s of the fleet's work waiting, another one 1 s. Guards against a refusal of the
/// team that is within its share.
#[test]
fn a_flood_of_one_team_is_refused_and_another_team_is_not() {
    let table = table(&[("flood", 20 * JOBS_PER_S), ("modest", JOBS_PER_S)]);
    let Admission::Refuse { reason, .. } = decide(&table, AGE, &demand("flood")) else {
        panic!("the flood is accepted");
    };
    assert_eq!(reason, RefusalReason::TeamBacklog);
    assert!(!is_refused(&table, &demand("modest")));
    assert!(!is_refused(&table, &demand("newcomer")));
    // Of the two, the modest team gets half of the fleet until its work is done.
    let pool = table.pool(SERVICE).unwrap();
    let modest = pool.expected_start_ms(team("modest").as_ref(), 10, 0);
    assert!((1_990..=2_010).contains(&modest.0), "{modest}");
    let flood = pool.expected_start_ms(team("flood").as_ref(), 10, 0);
    assert!((20_900..=21_100).contains(&flood.0), "{flood}");
    assert_eq!(table.longest_wait_ms(), flood);
}

/// Load: a burst of eight teams, none of which alone exceeds the fleet. Guards against a backlog that all
/// teams build together.
#[test]
fn a_burst_of_all_teams_is_refused_once_their_common_work_is_too_much() {
    let names: Vec<String> = (0..8).map(|at| format!("team-{at}")).collect();
    let burst = |seconds: u64| {
        let teams = names
            .iter()
            .map(|name| (name.as_str(), seconds * JOBS_PER_S));
        table(&teams.collect::<Vec<_>>())
    };
    let Admission::Refuse { reason, .. } = decide(&burst(2), AGE, &demand("team-3")) else {
        panic!("16 s of work are accepted for a result that is useful for 5 s");
    };
    assert_eq!(reason, RefusalReason::FleetFull);
    let small = table(
        &names
            .iter()
            .map(|name| (name.as_str(), JOBS_PER_S / 4))
            .collect::<Vec<_>>(),
    );
    assert!(!is_refused(&small, &demand("team-3")));
}

/// Load: a fleet without a backlog, and one that drains what waits in time. Guards against refusals where
/// there is no overload.
#[test]
fn a_fleet_without_a_backlog_refuses_nothing() {
    let large = JobDemand {
        work: 1_000 * CAPACITY_MILLI * 1_000,
        useful_ms: Millis(1),
        ..demand("newcomer")
    };
    assert!(!is_refused(&AdmissionTable::default(), &large));
    assert!(!is_refused(&table(&[("modest", 2 * JOBS_PER_S)]), &large));
    assert!(!is_refused(
        &table(&[("modest", 2 * JOBS_PER_S)]),
        &demand("modest")
    ));
    let mut no_workers = backlog(&[("flood", 100 * JOBS_PER_S)]);
    let no_workers = no_workers.table(START, 1, &BTreeMap::new(), |_| (10, true));
    assert!(!is_refused(&no_workers, &demand("flood")));
    let without_weight = JobDemand {
        weight: 0,
        ..demand("flood")
    };
    assert!(!is_refused(
        &table(&[("flood", 100 * JOBS_PER_S)]),
        &without_weight
    ));
}

/// Load: a backlog of jobs whose estimates are off by up to 0.9, at the edge of the bound. Guards against
/// refusals of jobs that would have started in time.
#[test]
fn estimates_that_are_off_by_nine_tenths_cause_no_false_refusal() {
    let mut seed: u64 = 7;
    let mut random = || {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % 1_801
    };
    let job = JobDemand {
        useful_ms: Millis(5_000),
        ..demand("all")
    };
    let mut refused = 0;
    for jobs in [1, 4, 16, 100, 400, 1_600] {
        for round in 0..200 {
            // Few jobs are larger, so that the expected start lies around the bound.
            let work = (4_000 + round * 20) * CAPACITY_MILLI / jobs;
            let mut backlog = Backlog::default();
            let mut true_work = 0;
            for _ in 0..jobs {
                true_work += work / 1_000 * (100 + random());
                let mut waiting = waiting("all", START + Millis(60_000));
                waiting.work = work;
                backlog.replace(&WaitingJob::default(), &waiting);
            }
            if is_refused(&table_of(&mut backlog, START), &job) {
                refused += 1;
                let start_ms = true_work / CAPACITY_MILLI;
                assert!(
                    start_ms > 4_900,
                    "{jobs} jobs: would start after {start_ms} ms"
                );
            }
        }
    }
    assert!(
        refused > 200,
        "{refused} refused: the bound is never reached"
    );
}

/// Load: a flood that is refused for as long as it lasts. Guards against callers that return at the same
/// time, and against late ones that overtake those that were refused first.
#[test]
fn retries_come_back_spread_and_in_the_order_of_the_first_refusals() {
    let mut gate = AdmissionGate::default();
    gate.set_table(START, Some(table(&[("flood", 20 * JOBS_PER_S)])));
    let check = |gate: &mut AdmissionGate, now: Millis, at: u64| {
        let id = JobId::new(format!("{at:016x}"));
        gate.check(now, &id, demand("flood"))
            .unwrap()
            .retry_after_ms
    };
    let returns: Vec<u64> = (0..3_000)
        .map(|at| START.0 + at / 10 + check(&mut gate, START + Millis(at / 10), at).0)
        .collect();
    assert!(returns.is_sorted());
    let spread_ms = returns[2_999] - returns[0];
    let drain_ms = 3_000 * 1_000 / JOBS_PER_S;
    assert!(spread_ms >= drain_ms * 9 / 10, "{spread_ms} of {drain_ms}");
    // A retry that comes too early keeps its place, and one that is due goes before all others.
    let now = START + Millis(1_000);
    assert_eq!(now.0 + check(&mut gate, now, 100).0, returns[100]);
    assert!(now.0 + check(&mut gate, now, 5_000).0 >= returns[2_999]);
}

/// Load: a flood while no table arrives, as during a takeover or a partition. Guards against refusals by
/// what is not known any more.
#[test]
fn an_old_table_refuses_nothing() {
    let table = table(&[("flood", 100 * JOBS_PER_S)]);
    let at = |age| decide(&table, Millis(age), &demand("flood"));
    assert!(at(MAX_TABLE_AGE_MS) != Admission::Accept);
    assert_eq!(at(MAX_TABLE_AGE_MS + 1), Admission::Accept);
    let mut gate = AdmissionGate::default();
    gate.set_table(START, Some(table));
    gate.set_table(START, None);
    assert_eq!(gate.check(START, &JobId::new("1"), demand("flood")), None);
}

/// Load: a flood within one heartbeat. Guards against a daemon that admits all of it by one table.
#[test]
fn what_a_daemon_accepts_counts_until_the_next_table() {
    let mut gate = AdmissionGate::default();
    let mut backlog = backlog(&[("flood", JOBS_PER_S)]);
    let capacities = BTreeMap::from([(SERVICE.into(), CAPACITY_MILLI)]);
    let table = backlog.table(START, 3, &capacities, |_| (10, true));
    gate.set_table(START, Some(table));
    let flood = 0..100 * JOBS_PER_S;
    let accepted = flood.filter(|at| {
        let id = JobId::new(format!("{at:016x}"));
        gate.check(START, &id, demand("flood")).is_none()
    });
    // Five seconds of work by three daemons, with the margin.
    let accepted = accepted.count() as u64;
    assert!(
        accepted >= JOBS_PER_S,
        "{accepted} of {JOBS_PER_S} a second"
    );
    assert!(
        accepted <= 2 * JOBS_PER_S,
        "{accepted} of {JOBS_PER_S} a second"
    );
}

/// Load: the waiting jobs of a queue that was removed, of whose service no worker is left. Guards against
/// work that delays the jobs of other services, and that is counted for ever.
#[test]
fn the_work_of_a_removed_queue_counts_for_its_service_only() {
    let mut backlog = backlog(&[("flood", 1)]);
    let mut removed = waiting("flood", START + Millis(60_000));
    removed.service = "gone".into();
    removed.work = 100 * JOBS_PER_S * JOB_WORK;
    backlog.replace(&WaitingJob::default(), &removed);
    let table = table_of(&mut backlog, START);
    assert!(!is_refused(&table, &demand("flood")));
    backlog.replace(&removed, &WaitingJob::default());
    assert_eq!(backlog.total_work(), JOB_WORK);
}

/// Load: work that has waited until it lost its use. Guards against refusals for work that starts after
/// the new job.
#[test]
fn late_work_is_not_ahead_of_a_new_job() {
    let mut backlog = backlog(&[("flood", 20 * JOBS_PER_S)]);
    assert!(is_refused(&table_of(&mut backlog, START), &demand("flood")));
    let later = START + Millis(61_000);
    let table = table_of(&mut backlog, later);
    assert!(!is_refused(&table, &demand("flood")));
    let load = table.pool(SERVICE).unwrap().load(team("flood").as_ref());
    assert_eq!(load.unwrap().late_work, 20 * JOBS_PER_S * JOB_WORK);
    let job = waiting("flood", START + Millis(60_000));
    for _ in 0..20 * JOBS_PER_S {
        backlog.replace(&job, &WaitingJob::default());
    }
    assert_eq!(backlog.total_work(), 0);
}

/// Load: old work that is too late to end in time, and a team at its usual rate again. Guards against an
/// overload that goes on after its cause is over, since new jobs that would start at once are refused.
#[test]
fn a_job_that_can_end_in_time_is_not_refused_for_work_that_can_not() {
    let mut backlog = backlog(&[("flood", 20 * JOBS_PER_S)]);
    let capacities = BTreeMap::from([(SERVICE.into(), CAPACITY_MILLI)]);
    let mut table = |is_surplus| backlog.table(START, 1, &capacities, |_| (10, is_surplus));
    assert!(is_refused(&table(true), &demand("flood")));
    assert!(!is_refused(&table(false), &demand("flood")));
    // Two seconds of work that can end in time are more than the job can wait for.
    let mut recent = waiting("flood", START + Millis(60_000));
    recent.latest_start_at = Some(START + Millis(1_500));
    recent.work = 2_000 * CAPACITY_MILLI;
    backlog.replace(&WaitingJob::default(), &recent);
    let mut table = |now| backlog.table(now, 1, &capacities, |_| (10, false));
    assert!(is_refused(&table(START), &demand("flood")));
    assert!(!is_refused(&table(START + Millis(2_000)), &demand("flood")));
}

/// Load: 300 teams with waiting work. Guards against heartbeats that grow with the number of teams, and
/// against work that is forgotten because its team is not listed.
#[test]
fn a_table_lists_at_most_128_teams_and_sums_the_others() {
    let names: Vec<String> = (0..300).map(|at| format!("team-{at}")).collect();
    let jobs = |at: usize| 1 + at as u64 / 2;
    let teams = names.iter().enumerate();
    let teams: Vec<_> = teams.map(|(at, name)| (name.as_str(), jobs(at))).collect();
    let table = table(&teams);
    let pool = table.pool(SERVICE).unwrap();
    assert_eq!(pool.teams.len(), MAX_LISTED_TEAMS);
    assert!(pool.load(team("team-299").as_ref()).is_some());
    let listed: u64 = pool.teams.iter().map(|load| load.work).sum();
    let all: u64 = teams.iter().map(|(_, jobs)| jobs * JOB_WORK).sum();
    assert_eq!(listed + pool.rest.work, all);
    let mut bytes = Vec::new();
    ciborium::into_writer(&table, &mut bytes).unwrap();
    assert!(bytes.len() < 5_000, "{} bytes", bytes.len());
}

//! Read-only views for operators.

use super::Core;
use crate::{Class, JobView, Link, Millis, PeerView, TeamName, TeamView, WorkerState, WorkerView};

impl Core {
    /// Returns the unfinished jobs of the failure domain, or none if another daemon is the leader.
    pub fn job_views(&self) -> Vec<JobView> {
        let views = self.jobs.iter().map(|(job, record)| JobView {
            job: job.clone(),
            team: record.row.team.clone(),
            queue: record.row.spec.queue.clone(),
            class: record.class,
            tasks: record.row.spec.tasks,
            running: record.running.len(),
            done: record.row.ended.len(),
            failures: record.row.failures,
            state: record.row.state,
        });
        views.collect()
    }

    /// Returns the listed workers of the failure domain.
    pub fn worker_views(&self) -> Vec<WorkerView> {
        let listed = self.fleet.iter().filter(|worker| worker.listed);
        listed.map(|worker| self.worker_view(worker)).collect()
    }

    fn worker_view(&self, worker: &WorkerState) -> WorkerView {
        WorkerView {
            worker: worker.host.worker.clone(),
            rack: worker.host.rack.clone(),
            address: worker.host.address.clone(),
            ready: worker.link == Link::Ready,
            leaving: worker.host.leaving,
            quarantined_ms: worker.quarantined_until_ms.since(self.now_ms),
            tasks: worker.tasks.len(),
            used: worker.used,
            capacity: worker.host.capacity,
        }
    }

    /// Returns all teams with their allotment and usage in this failure domain.
    pub fn team_views(&self) -> Vec<TeamView> {
        let teams = self.config.teams();
        teams.filter_map(|team| self.team_view(team)).collect()
    }

    fn team_view(&self, team: &TeamName) -> Option<TeamView> {
        let (share, limit) = self.config.team(team)?;
        let classes = Class::ALL.iter();
        Some(TeamView {
            team: team.clone(),
            share,
            limit,
            allotment: self.limits.spendable(team),
            running: self.fleet.usage(team),
            pending: classes
                .map(|(class, _)| self.queues.len_of(*class, team))
                .sum(),
        })
    }

    /// Returns all known daemons, including this one.
    pub fn peer_views(&self) -> Vec<PeerView> {
        let own = PeerView {
            daemon: self.daemon_id().clone(),
            domain: self.settings.domain.clone(),
            address: self.settings.address.clone(),
            leader_term: self.leader_term(),
            heard_age_ms: Some(Millis(0)),
            draining: self.drain.is_requested(),
        };
        let mut views = self.members.views(self.now_ms);
        views.push(own);
        views.sort_by(|a, b| (&a.domain, &a.daemon).cmp(&(&b.domain, &b.daemon)));
        views
    }
}

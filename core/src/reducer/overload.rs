//! Load shedding: forwards or refuses requests that the workers can't serve in time.

use super::{requests::RequestAction, Core};
use crate::{
    consts, AdmittedRequest, Answer, Class, DaemonId, DecisionEvent, DomainName, Millis, Refusal,
    RequestId, TeamName,
};
use std::collections::BTreeSet;

const PERMILLE: usize = 1_000;

impl Core {
    /// Estimates how long a team's next request waits.
    ///
    /// It waits for the team's own pending requests, which are served at the team's share among all
    /// teams with pending requests, but no longer than all pending requests take.
    fn estimated_wait_ms(&self, team: &TeamName) -> Millis {
        let pending = self.queues.len(Class::Small);
        let own = self.queues.len_of(Class::Small, team);
        let behind = (own * PERMILLE / self.pending_share_permille(team)).min(pending);
        self.service_time
            .estimate_wait_ms(behind, self.fleet.running_requests())
    }

    /// Returns a team's share of the weights of all teams with pending requests, itself included.
    fn pending_share_permille(&self, team: &TeamName) -> usize {
        let weight = |team: &TeamName| self.config.team(team).map_or(1, |(share, _)| share);
        let own = weight(team).max(1);
        let teams = self.queues.teams(Class::Small);
        let others = teams.iter().filter(|other| *other != team).map(weight);
        let all = own + others.sum::<u64>();
        (own as usize * PERMILLE / all as usize).max(1)
    }

    /// Returns the time after which a refused caller may retry.
    ///
    /// After an overload or a passed deadline it is the estimated wait, if that is not zero.
    pub(super) fn retry_after_ms(&self, team: &TeamName, reason: Refusal) -> Millis {
        let wait_ms = self.estimated_wait_ms(team).min(consts::MAX_RETRY_AFTER_MS);
        match reason {
            Refusal::Overloaded | Refusal::DeadlinePassed if wait_ms > Millis(0) => wait_ms,
            _ => consts::DEFAULT_RETRY_AFTER_MS,
        }
    }

    /// Returns the time after which the caller of a known request may retry.
    pub(super) fn retry_after_for(&self, id: &RequestId, reason: Refusal) -> Millis {
        let state = self.requests.get(id);
        state.map_or(consts::DEFAULT_RETRY_AFTER_MS, |state| {
            self.retry_after_ms(&state.admitted.team, reason)
        })
    }

    /// Returns whether a new request can't be served in time: its team already has as many pending
    /// requests as its share allows, or the estimated wait exceeds the deadline.
    pub(super) fn is_overloaded(&self, team: &TeamName, deadline_ms: Millis) -> bool {
        let slots = self.fleet.total_capacity().slots as usize;
        let max_pending = (slots * consts::MAX_PENDING_REQUESTS_PER_SLOT).max(1);
        let own = self.queues.len_of(Class::Small, team);
        let team_max_pending = (max_pending * self.pending_share_permille(team) / PERMILLE).max(1);
        own >= team_max_pending || self.estimated_wait_ms(team) > deadline_ms
    }

    /// Decides to forward a request to another failure domain, or to refuse it if none has room or
    /// the request was already forwarded.
    pub(super) fn forward_or_refuse(&self, admitted: &AdmittedRequest) -> RequestAction {
        let overloaded = RequestAction::Refuse(Refusal::Overloaded);
        if admitted.forwarded {
            return overloaded;
        }
        let other = self.leader_with_most_free_slots();
        other.map_or(overloaded, RequestAction::Forward)
    }

    /// Returns the leader of the other failure domain with the most free slots, among those without
    /// pending requests.
    fn leader_with_most_free_slots(&self) -> Option<DaemonId> {
        let domains: BTreeSet<&DomainName> = self.config.domains().collect();
        let others = domains
            .into_iter()
            .filter(|domain| **domain != self.settings.domain);
        let leaders = others.filter_map(|domain| self.leader_of(domain));
        let candidates = leaders.filter_map(|(id, _)| {
            let peer = self.members.peers.get(id)?;
            (peer.pending_requests == 0 && peer.free.slots > 0).then_some((peer.free.slots, id))
        });
        candidates.max().map(|(_, id)| id.clone())
    }

    pub(super) fn refuse_request(&mut self, admitted: &AdmittedRequest, reason: Refusal) {
        self.log(DecisionEvent::RequestRefused {
            request: admitted.request.id.clone(),
            reason,
        });
        let answer = Answer::refused(reason, self.retry_after_ms(&admitted.team, reason));
        self.answer_origin(&admitted.origin, answer);
    }
}

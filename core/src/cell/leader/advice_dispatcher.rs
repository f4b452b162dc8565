//! Distributes the calls for advice among the daemons. The service handles one call at a time from each
//! daemon, so the leader spreads the calls and reserves some daemons for short ones.

use crate::{
    cell::{
        consts,
        ctx::LOCAL_LINK,
        leader::{
            entry_pair::PairedIncarnation,
            fleet::WorkerIx,
            waiting_calls::{CallReason, Room, WaitingCall, WaitingCalls},
        },
        AdviceCost, FencingToken, LinkId, QueryId, StepKey,
    },
    Millis,
};
use std::{cmp::Reverse, collections::BTreeMap};

/// The number of low bits of a query id that hold the number of the request; the bits above them hold
/// the leader's token.
const QUERY_ID_BITS: u32 = 24;

/// A request for advice on a step.
#[derive(Clone, Debug)]
pub(crate) struct AdviceRequest {
    pub(crate) step: StepKey,
    pub(crate) workers: Vec<WorkerIx>,
    pub(crate) cost: AdviceCost,
    /// The latest time at which the step can start and still end in time; orders the requests.
    pub(crate) latest_start_ms: u64,
    pub(crate) requested_at: Millis,
    /// The incarnations of `workers` when the call was sent; `None` for one whose entry was that of another.
    pub(crate) incarnations: Vec<Option<PairedIncarnation>>,
    /// The daemon that it was sent to, and when.
    pub(crate) sent: Option<(LinkId, Millis)>,
    pub(crate) room: Room,
}

impl AdviceRequest {
    fn cost_us(&self) -> u64 {
        self.cost.call_us(self.workers.len())
    }

    pub(crate) fn is_long(&self) -> bool {
        self.cost_us() >= consts::LONG_ADVICE_US
    }

    fn waiting_call(&self, id: QueryId) -> WaitingCall {
        WaitingCall {
            id,
            latest_start_ms: self.latest_start_ms,
            requested_at: self.requested_at,
            room: self.room,
        }
    }

    pub(crate) fn timeout_ms(&self) -> Millis {
        Millis(self.cost_us() / 1_000) + consts::ADVICE_TIMEOUT_MARGIN_MS
    }
}

/// A call for advice that has been sent to a daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightCall {
    pub(crate) id: QueryId,
    pub(crate) long: bool,
    /// When the call counts as lost.
    pub(crate) times_out_at: Millis,
}

/// A daemon that can call the advice service.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdviceCaller {
    /// The calls in flight, which the service handles one after another.
    pub(crate) calls: Vec<InFlightCall>,
    /// After a failed call, no call is sent to it before this time.
    pub(crate) retry_at: Millis,
    /// After a failed call, the other daemons are preferred until this time.
    pub(crate) avoided_until: Millis,
}

impl AdviceCaller {
    /// Returns whether another call may be sent, so that at most `max_calls` are in flight; none is
    /// sent behind a long call.
    fn has_capacity(&self, max_calls: usize, now: Millis) -> bool {
        let has_long = self.calls.iter().any(|call| call.long);
        let max_calls = if has_long { 0 } else { max_calls };
        self.calls.len() < max_calls && now >= self.retry_at
    }
}

/// Distributes the requests for advice among the daemons.
#[derive(Debug)]
pub(crate) struct AdviceDispatcher {
    pub(crate) requests: BTreeMap<QueryId, AdviceRequest>,
    /// The requests that are not sent yet: those with short calls, then those with long ones.
    pub(crate) waiting: [WaitingCalls; 2],
    last_id: u64,
    pub(crate) callers: BTreeMap<LinkId, AdviceCaller>,
    /// Workers whose tickets are invalid because they were issued for an earlier incarnation.
    pub(crate) invalidated: Vec<WorkerIx>,
}

impl AdviceDispatcher {
    /// Creates the dispatcher of the leader with `token`. Daemons send late answers to the next leader,
    /// so query ids contain the token and differ between leaders.
    pub(crate) fn new(token: FencingToken) -> Self {
        Self {
            requests: BTreeMap::new(),
            waiting: Default::default(),
            last_id: token.0 << QUERY_ID_BITS,
            callers: BTreeMap::from([(LOCAL_LINK, AdviceCaller::default())]),
            invalidated: Vec::new(),
        }
    }

    pub(crate) fn add_caller(&mut self, link: LinkId) {
        self.callers.insert(link, AdviceCaller::default());
    }

    /// Removes a daemon; its calls are sent again by others, first of all, since room may be held for them.
    pub(crate) fn remove_caller(&mut self, link: LinkId) {
        let caller = self.callers.remove(&link);
        for call in caller.into_iter().flat_map(|caller| caller.calls) {
            if let Some(request) = self.requests.get_mut(&call.id) {
                request.sent = None;
                request.room = Room::Held;
                self.waiting[usize::from(call.long)].insert(request.waiting_call(call.id));
            }
        }
    }

    /// Marks the tickets for a worker as invalid; they expire in the next scheduling pass.
    pub(crate) fn invalidate_tickets(&mut self, ix: WorkerIx) {
        self.invalidated.push(ix);
    }

    pub(crate) fn add(&mut self, request: AdviceRequest) -> QueryId {
        self.last_id += 1;
        let id = QueryId(self.last_id);
        self.waiting[usize::from(request.is_long())].insert(request.waiting_call(id));
        self.requests.insert(id, request);
        id
    }

    /// Lets a request that is not sent yet go before others, because room is held for its step.
    pub(crate) fn hold_room(&mut self, id: QueryId) {
        let request = self.requests.get_mut(&id);
        let Some(request) = request.filter(|request| request.sent.is_none()) else {
            return;
        };
        request.room = Room::Held;
        self.waiting[usize::from(request.is_long())].insert(request.waiting_call(id));
    }

    /// Notes that a request is sent. A single daemon makes the calls of both lengths in turn.
    pub(crate) fn note_sent(&mut self, id: QueryId, reason: CallReason) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let at = usize::from(request.is_long());
        self.waiting[at].remove(request.waiting_call(id));
        self.waiting[at].note_sent(reason);
        if self.callers.len() == 1 {
            self.waiting[1 - at].note_sent(CallReason::Urgency);
        }
    }

    /// Removes a request, together with its call if one is in flight, and returns the request.
    pub(crate) fn take(&mut self, id: QueryId) -> Option<AdviceRequest> {
        let request = self.requests.remove(&id)?;
        match request.sent {
            None => {
                self.waiting[usize::from(request.is_long())].remove(request.waiting_call(id));
            }
            Some((link, _)) => {
                if let Some(caller) = self.callers.get_mut(&link) {
                    caller.calls.retain(|call| call.id != id);
                }
            }
        }
        Some(request)
    }

    /// Returns when the oldest request that is not sent yet was made.
    pub(crate) fn oldest_waiting_since(&self) -> Option<Millis> {
        let lengths = self.waiting.iter();
        lengths.filter_map(WaitingCalls::oldest_since).min()
    }

    /// Returns how many daemons make no long calls, so that short calls need not wait for one to end.
    fn reserved_for_short_calls(&self) -> usize {
        match self.callers.len() {
            0 | 1 => 0,
            count => (count / 3).max(1),
        }
    }

    /// Returns how many long calls are made at the same time.
    pub(crate) fn max_long_calls(&self) -> usize {
        (self.callers.len() - self.reserved_for_short_calls()).max(1)
    }

    /// Returns the calls that have timed out.
    pub(crate) fn timed_out(&self, now: Millis) -> Vec<QueryId> {
        let calls = self.callers.values().flat_map(|caller| &caller.calls);
        let late = calls.filter(|call| now > call.times_out_at);
        late.map(|call| call.id).collect()
    }

    /// Chooses the next request, the daemon that sends it, and why it is next. A third of the daemons is
    /// reserved for long calls and another third for short ones. Long calls go to the leader's own daemon
    /// last, because it has the most other work.
    pub(crate) fn next(&self, now: Millis) -> Option<(QueryId, LinkId, CallReason)> {
        let third = self.reserved_for_short_calls();
        let long = |caller: &&AdviceCaller| caller.calls.iter().any(|call| call.long);
        let long_sent = self.callers.values().filter(long).count();
        let free = |max_calls: usize| {
            let callers = self.callers.iter();
            let free = callers.filter(move |(_, caller)| caller.has_capacity(max_calls, now));
            free.map(|(link, caller)| (now < caller.avoided_until, caller.calls.len(), *link))
        };
        let [short_calls, long_calls] = &self.waiting;
        let next_long = long_calls.next(now);
        let next_long = next_long.filter(|_| long_sent < self.max_long_calls());
        let long_goes_first =
            next_long.is_some_and(|(reason, _)| long_sent < third || reason != CallReason::Urgency);
        let long = next_long.and_then(|request| {
            let (_, _, link) =
                free(1).min_by_key(|(avoided, _, link)| (*avoided, Reverse(*link)))?;
            Some((request, link))
        });
        let short = short_calls.next(now).and_then(|request| {
            // A call is sent while the one before is in flight, unless a long call waits for an idle
            // daemon.
            let max_calls = match long_goes_first {
                true => 1,
                false => consts::MAX_ADVICE_CALLS_PER_DAEMON,
            };
            let (_, _, link) = free(max_calls).min()?;
            Some((request, link))
        });
        let priority = |((reason, id), _): &((CallReason, QueryId), LinkId)| {
            let request = self.requests.get(id);
            let latest_start_ms = request.map_or(u64::MAX, |request| request.latest_start_ms);
            (*reason, latest_start_ms < now.0, latest_start_ms, *id)
        };
        let ((reason, id), link) = match (short, long) {
            (Some(_), Some(long)) if long_goes_first => long,
            (Some(short), Some(long)) if priority(&short) <= priority(&long) => short,
            (short, long) => long.or(short)?,
        };
        Some((id, link, reason))
    }
}

//! Steps that wait for the same thing, found by scheduling order and by the amount that they need.

use crate::cell::leader::rank::Order;
use std::collections::{BTreeMap, BTreeSet};

/// The number of a pending step, which is never used for another one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct PendingId(pub(crate) u64);

/// Amounts whose logarithms differ by less than one divided by this are in one class.
const CLASSES_PER_DOUBLING: u64 = 4;

/// Waiting steps in classes by the amount that they need, so that those which need more than there is
/// are passed over together.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitList {
    classes: BTreeMap<u64, BTreeSet<(Order, PendingId)>>,
}

/// Returns the class of an amount; a smaller amount is in no higher class.
fn class_of(amount: u64) -> u64 {
    let Some(doublings) = amount.checked_ilog2() else {
        return 0;
    };
    let fraction = (u128::from(amount) * u128::from(CLASSES_PER_DOUBLING)) >> doublings;
    1 + u64::from(doublings) * CLASSES_PER_DOUBLING + fraction as u64 - CLASSES_PER_DOUBLING
}

impl WaitList {
    pub(crate) fn insert(&mut self, amount: u64, order: Order, id: PendingId) {
        let class = self.classes.entry(class_of(amount)).or_default();
        class.insert((order, id));
    }

    pub(crate) fn remove(&mut self, amount: u64, order: Order, id: PendingId) {
        let class = class_of(amount);
        let Some(steps) = self.classes.get_mut(&class) else {
            return;
        };
        steps.remove(&(order, id));
        if steps.is_empty() {
            self.classes.remove(&class);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }

    /// Returns the first steps in scheduling order that are not known to need more than `amount`, at
    /// most `max_count` of each of the lists together.
    pub(crate) fn first_of<'a>(
        lists: impl Iterator<Item = &'a WaitList>,
        amount: u64,
        max_count: usize,
    ) -> Vec<PendingId> {
        let classes = lists.flat_map(|list| list.classes.range(..=class_of(amount)));
        let mut heads: Vec<_> = classes
            .map(|(_, steps)| steps.iter().copied().peekable())
            .collect();
        let mut first = Vec::new();
        while first.len() < max_count {
            let next = heads
                .iter_mut()
                .filter_map(|steps| Some((*steps.peek()?, steps)))
                .min_by_key(|(head, _)| *head);
            let Some((_, steps)) = next else { break };
            first.extend(steps.next().map(|(_, id)| id));
        }
        first
    }
}

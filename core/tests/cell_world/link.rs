//! The link of a host to the store: answers that arrive at the same time share its rate.

use pomelotide_core::cell::{RpcId, StoreReply};

/// The bytes of a row beside its value, and of an answer beside its rows.
const OVERHEAD_BYTES: u64 = 120;

/// An answer that is being received.
#[derive(Debug)]
struct Transfer {
    caller: usize,
    rpc: RpcId,
    left_bytes: u64,
    /// When its caller stops waiting.
    deadline: u64,
    reply: StoreReply,
}

/// A link of a bounded rate.
#[derive(Debug)]
pub struct StoreLink {
    bytes_per_s: u64,
    transfers: Vec<Transfer>,
}

/// Returns the size of an answer.
fn reply_bytes(reply: &StoreReply) -> u64 {
    let rows = match reply {
        StoreReply::Rows { rows, .. } | StoreReply::Conflict(rows) => rows.as_slice(),
        _ => &[],
    };
    let values = rows.iter().map(|row| {
        let bytes = pomelotide_wire::encode(&row.value).unwrap().len();
        OVERHEAD_BYTES + bytes.div_ceil(3) as u64 * 4
    });
    OVERHEAD_BYTES + values.sum::<u64>()
}

impl StoreLink {
    pub fn new(megabits_per_s: u64) -> Self {
        Self {
            bytes_per_s: megabits_per_s * 125_000,
            transfers: Vec::new(),
        }
    }

    /// Begins to receive an answer whose caller waits until `deadline`.
    pub fn receive(&mut self, caller: usize, rpc: RpcId, deadline: u64, reply: StoreReply) {
        self.transfers.push(Transfer {
            caller,
            rpc,
            left_bytes: reply_bytes(&reply),
            deadline,
            reply,
        });
    }

    /// Returns whether an answer is being received.
    pub fn is_busy(&self) -> bool {
        !self.transfers.is_empty()
    }

    /// Receives for a span that ends now; returns the answers that have ended, as lost where their caller
    /// no longer waits.
    pub fn advance(&mut self, now: u64, span_ms: u64) -> Vec<(usize, RpcId, StoreReply)> {
        let mut budget = self.bytes_per_s * span_ms / 1_000;
        // What a transfer leaves of its share goes to the others.
        while budget > 0 && self.transfers.iter().any(|own| own.left_bytes > 0) {
            let open = self.transfers.iter_mut().filter(|own| own.left_bytes > 0);
            let mut open: Vec<_> = open.collect();
            let share = (budget / open.len() as u64).max(1);
            for transfer in &mut open {
                let taken = share.min(transfer.left_bytes).min(budget);
                transfer.left_bytes -= taken;
                budget -= taken;
            }
        }
        let mut ended = Vec::new();
        self.transfers.retain_mut(|own| {
            let is_received = own.left_bytes == 0 && now <= own.deadline;
            if !is_received && now < own.deadline {
                return true;
            }
            let reply = std::mem::replace(&mut own.reply, StoreReply::Lost);
            let reply = if is_received { reply } else { StoreReply::Lost };
            ended.push((own.caller, own.rpc, reply));
            false
        });
        ended
    }
}

//! The bytes of all callers' bodies that are being read or wait for an answer.

use super::reply::Rejection;
use crate::{consts, segments::Segments};
use log::warn;
use metrics::counter;
use std::{
    io::Read,
    sync::{
        atomic::{AtomicU64, Ordering},
        Mutex, PoisonError,
    },
    time::{Duration, Instant},
};

/// The number of bytes read at a time.
const READ_BYTES: usize = 16 * 1_024;
/// The minimum interval of log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The budget; a body that exceeds it is refused, since a blocked read of another one can't be ended.
#[derive(Debug, Default)]
pub(super) struct BodyBudget {
    bytes: AtomicU64,
    /// The time of the last log line and the refusals since.
    unlogged: Mutex<(Option<Instant>, u64)>,
}

/// The part of the budget that a body takes until it is answered.
#[derive(Debug)]
pub(super) struct BodyLease<'a> {
    budget: &'a BodyBudget,
    bytes: u64,
}

impl BodyBudget {
    /// Reads a body of at most [`consts::MAX_BODY_BYTES`] and returns it with its lease.
    pub(super) fn read(&self, mut body: impl Read) -> Result<(Vec<u8>, BodyLease<'_>), Rejection> {
        let started_at = Instant::now();
        let mut lease = BodyLease {
            budget: self,
            bytes: 0,
        };
        let mut segments = Segments::default();
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let count = body
                .read(&mut buffer)
                .map_err(|error| super::fields::field_error("body", error))?;
            if count == 0 {
                return Ok((segments.into_vec(), lease));
            }
            if lease.bytes + count as u64 > consts::MAX_BODY_BYTES {
                return Err(super::fields::too_large("body", consts::MAX_BODY_BYTES));
            }
            if !lease.extend(count as u64) {
                self.record("bytes");
                return Err(Rejection::Overloaded);
            }
            segments.push(&buffer[..count]);
            if is_slow(lease.bytes, started_at.elapsed()) {
                self.record("slow_body");
                return Err(Rejection::TooSlow);
            }
        }
    }

    fn record(&self, why: &'static str) {
        counter!("pomelotide_bodies_refused_total", "why" => why).increment(1);
        let mut unlogged = self.unlogged.lock().unwrap_or_else(PoisonError::into_inner);
        unlogged.1 += 1;
        if unlogged.0.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        let (count, bytes) = (unlogged.1, self.bytes.load(Ordering::Relaxed));
        warn!("event=bodies_refused why={why} count={count} unfinished_bytes={bytes}");
        *unlogged = (Some(Instant::now()), 0);
    }
}

/// Returns whether a body stays below the minimum rate.
fn is_slow(bytes: u64, elapsed: Duration) -> bool {
    let due = consts::MIN_BODY_BYTES_PER_S.saturating_mul(elapsed.as_secs());
    elapsed > consts::CALLER_TIMEOUT && bytes < due
}

impl BodyLease<'_> {
    fn extend(&mut self, bytes: u64) -> bool {
        let before = self.budget.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before + bytes <= consts::MAX_UNFINISHED_BODY_BYTES
    }
}

impl Drop for BodyLease<'_> {
    fn drop(&mut self) {
        self.budget.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

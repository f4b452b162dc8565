//! Makes sure that each call of the reducer gets an event.

use log::error;
use pomelotide_core::cell::Event;
use std::future::Future;
use tokio::task::spawn_local;

/// Returns the event that `call` creates from the answer, or `fallback` if it panics: without an event,
/// the reducer would wait for the answer for ever. It has to run within a `LocalSet`.
pub async fn call_event(call: impl Future<Output = Event> + 'static, fallback: Event) -> Event {
    match spawn_local(call).await {
        Ok(event) => event,
        Err(failure) => {
            error!("event=call_panicked error={:?}", failure.to_string());
            fallback
        }
    }
}

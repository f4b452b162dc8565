//! Messages that say why input was rejected.

use compact_str::{format_compact, CompactString};
use std::fmt::Display;

/// The maximum length of a reason in characters; a parser's message may quote all of its input.
const MAX_REASON_CHARS: usize = 200;

/// Returns the message of `error`, truncated to `MAX_REASON_CHARS`.
pub fn bounded_reason(error: impl Display) -> CompactString {
    let text = format_compact!("{error}");
    match text.char_indices().nth(MAX_REASON_CHARS) {
        Some((end, _)) => format_compact!("{}...", &text[..end]),
        None => text,
    }
}

//! Reads the bodies of requests.

use crate::segments::Segments;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

/// Why a body was not read to its end.
pub(crate) enum BodyError {
    TooLarge,
    Failed(String),
}

/// Reads a body of at most `max_bytes`. Chunks are copied together, so that small ones take no more
/// memory than their bytes.
pub(crate) async fn read_body(body: &mut Incoming, max_bytes: u64) -> Result<Vec<u8>, BodyError> {
    if body.size_hint().lower() > max_bytes {
        return Err(BodyError::TooLarge);
    }
    let mut body = Limited::new(body, max_bytes as usize);
    let mut segments = Segments::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
            true => BodyError::TooLarge,
            false => BodyError::Failed(error.to_string()),
        })?;
        // A frame without data holds trailers, which are not used.
        let data = frame.into_data().unwrap_or_default();
        segments.push(&data);
    }
    Ok(segments.into_vec())
}

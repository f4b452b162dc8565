//! The allocator's heap.

/// Returns the free memory of the heap to the system.
#[cfg(target_env = "gnu")]
#[allow(unsafe_code)]
pub(crate) fn return_free_memory() {
    // SAFETY: `malloc_trim` takes no pointer and may be called at any time from any thread.
    unsafe { libc::malloc_trim(0) };
}

/// Does nothing: other allocators return free memory by themselves.
#[cfg(not(target_env = "gnu"))]
pub(crate) fn return_free_memory() {}

//! A compact set of task indices.

use serde::{Deserialize, Serialize};

const WORD_BITS: u32 = u64::BITS;

/// A set of indices of a job's tasks, as a bit set.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskSet {
    words: Vec<u64>,
}

impl TaskSet {
    /// Adds a task and returns whether it was absent.
    pub fn insert(&mut self, index: u32) -> bool {
        let (word, bit) = Self::word_and_bit(index);
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let new = self.words[word] & bit == 0;
        self.words[word] |= bit;
        new
    }

    /// Returns whether a task is in the set.
    pub fn contains(&self, index: u32) -> bool {
        let (word, bit) = Self::word_and_bit(index);
        self.words.get(word).is_some_and(|found| found & bit != 0)
    }

    /// Returns the number of tasks in the set.
    pub fn len(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    const fn word_and_bit(index: u32) -> (usize, u64) {
        ((index / WORD_BITS) as usize, 1 << (index % WORD_BITS))
    }
}

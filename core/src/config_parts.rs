//! The serialized form of a configuration: lists without the derived indexes.

use crate::{Config, Entry, EntryName, NoteId, Revision};
use serde::{Deserialize, Serialize};

/// The content of a [`Config`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ConfigParts {
    revision: Revision,
    floor: Revision,
    entries: Vec<Entry>,
    touched: Vec<(EntryName, Revision)>,
    notes: Vec<(NoteId, Revision)>,
}

impl From<Config> for ConfigParts {
    fn from(config: Config) -> Self {
        let notes = config.last_notes.into_iter().filter_map(|note| {
            let revision = *config.notes.get(&note)?;
            Some((note, revision))
        });
        Self {
            revision: config.revision,
            floor: config.floor,
            entries: config.entries.into_values().collect(),
            touched: config.touched.into_iter().collect(),
            notes: notes.collect(),
        }
    }
}

impl From<ConfigParts> for Config {
    fn from(parts: ConfigParts) -> Self {
        let digests = parts.entries.iter().filter_map(|entry| match entry {
            Entry::Key { name, digest, .. } => Some((digest.clone(), name.clone())),
            _ => None,
        });
        Self {
            revision: parts.revision,
            floor: parts.floor,
            digests: digests.collect(),
            touched: parts.touched.into_iter().collect(),
            last_notes: parts.notes.iter().map(|(note, _)| note.clone()).collect(),
            notes: parts.notes.into_iter().collect(),
            entries: parts
                .entries
                .into_iter()
                .map(|entry| (entry.name(), entry))
                .collect(),
        }
    }
}

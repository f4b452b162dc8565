//! Wire and file formats of pomelotide: frames between processes, the platform's HTTP protocol, the
//! HTTP bodies of the API, settings files and release notes.

mod address;
mod api;
mod frame;
mod host_list;
mod http;
mod ini_text;
mod note_text;
mod platform;
mod problem;
mod reason;
mod report;
mod resources_text;
mod secret;
mod snapshot;
mod table_rows;
mod views;

pub use crate::{
    address::is_connectable,
    api::{http_status, refusal_help, ApiAnswer, ApiFieldError, ApiJob, ApiStatus},
    frame::{decode, encode, FrameError, PeerFrame, WorkerFrame},
    host_list::{HostListClient, HostListResult},
    http::{HttpClient, HttpError, HttpReply},
    ini_text::{IniField, IniSection, IniText},
    note_text::{format_entries, parse_note},
    platform::{
        WireCheck, WireHost, WireHosts, WireInsert, WireRead, WireRow, WireRows, WireTxn,
        WireTxnReply,
    },
    problem::{closest_name, Problem, Problems},
    reason::bounded_reason,
    report::FileReport,
    resources_text::{format_resources, parse_need, parse_resources, ResourcesError},
    secret::secret_digest,
    snapshot::{decode_snapshot, encode_snapshot},
    table_rows::{decode_key, decode_row, encode_key, encode_row, WireError},
    views::{
        ApiExplanation, ApiJobView, ApiJournalEntry, ApiNoteView, ApiPeerView, ApiTeamView,
        ApiWorkerView,
    },
};

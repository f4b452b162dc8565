//! Wire formats of pomelotide: frames between processes, the platform's HTTP protocol, the callers'
//! HTTP bodies, settings files and release notes.

mod api;
mod frame;
mod host_reader;
mod http;
mod ini_text;
mod limits_text;
mod note_text;
mod platform;
mod problem;
mod report;
mod secret;
mod snapshot;
mod table_key;
mod views;

pub use crate::{
    api::{refusal_help, status_of, ApiAnswer, ApiFault, ApiJob, ApiStatus},
    frame::{decode, encode, FrameError, PeerFrame, WorkerFrame},
    host_reader::{HostReader, HostReading},
    http::{HttpClient, HttpError, HttpReply},
    ini_text::{IniField, IniSection, IniText},
    limits_text::{parse_need, parse_resources, show_resources, ResourcesError},
    note_text::{parse_note, show_entries},
    platform::{
        WireCheck, WireHost, WireHosts, WireInsert, WirePair, WireRead, WireRows, WireTxn,
        WireTxnReply,
    },
    problem::{nearest, Problem, Problems},
    report::FileReport,
    secret::digest_of,
    snapshot::{decode_snapshot, encode_snapshot},
    table_key::{decode_row, encode_row, key_text, parse_key, WireError},
    views::{
        ApiExplanation, ApiJobView, ApiNoteView, ApiPeerView, ApiStep, ApiTeamView, ApiWorkerView,
    },
};

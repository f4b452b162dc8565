//! Tests of the formats of resources, INI files, table keys and frames, mostly by round trips.

use arbtest::arbtest;
use pomelotide_core::{
    CallId, Claim, DaemonId, DomainName, Epoch, JobId, Key, Origin, PeerMessage, RequestId,
    Resources, Revision, TaskId, Term, WorkerCommand,
};
use pomelotide_wire::{
    closest_name, decode, decode_key, encode, encode_key, format_resources, parse_need,
    parse_resources, IniText, PeerFrame, WorkerFrame,
};

#[test]
fn formatted_amounts_parse_to_the_same_amount() {
    arbtest(|u| {
        let parts: [u32; 4] = u.arbitrary()?;
        let amount = Resources::from_amounts(parts.map(u64::from));
        assert_eq!(parse_resources(&format_resources(&amount)), Ok(amount));
        Ok(())
    })
    .seed(0x5eed_0000_0040);
}

#[test]
fn amounts_are_formatted_in_readable_units() {
    let formatted = |text: &str| format_resources(&parse_resources(text).unwrap());
    assert_eq!(formatted("slots 3, memory 2048MiB"), "memory 2GiB, slots 3");
    assert_eq!(formatted("cpu 1.5, memory 3TiB"), "cpu 1500m, memory 3TiB");
    assert_eq!(formatted("cpu 0"), "cpu 0");
}

#[test]
fn invalid_amounts_are_rejected_with_an_example() {
    for (text, message) in [
        ("", "no resource is named"),
        ("cpu", "\"cpu\" is not an amount"),
        ("cpu -1", "\"cpu -1\" is not an amount"),
        ("memory 5", "\"memory 5\" is not an amount"),
        ("memory 5GB", "\"memory 5GB\" is not an amount"),
        ("memory 99999999999999TiB", "is not an amount"),
        ("cpu 1, cpu 2", "cpu is named twice"),
        ("slot 1", "did you mean slots?"),
    ] {
        let error = parse_resources(text).unwrap_err().to_string();
        assert!(
            error.starts_with(message) || error.contains(message),
            "{error}"
        );
        assert!(error.ends_with("slots 2"), "{error}");
    }
    assert!(parse_need("cpu 0, slots 0").is_err());
}

#[test]
fn sections_and_fields_have_their_lines() {
    let text = "; comment\n\n[a]\nx = 1\n\n# more\ny : 2\nx = 3\n[b]\n[a]\nx = 4\n";
    let ini = IniText::parse("f", text).unwrap();
    let lines: Vec<(String, usize)> = ini
        .sections
        .iter()
        .flat_map(|section| {
            let fields = section.fields.iter();
            let fields =
                fields.map(|field| (format!("{}={}", field.name, field.value), field.line));
            std::iter::once((section.name.clone(), section.line)).chain(fields)
        })
        .collect();
    let expected = [
        ("a", 3),
        ("x=1", 4),
        ("y=2", 7),
        ("x=3", 8),
        ("b", 9),
        ("a", 10),
        ("x=4", 11),
    ];
    let mut expected: Vec<(String, usize)> = expected.map(|(t, l)| (t.to_string(), l)).into();
    // The INI library groups the fields of a section by name.
    expected.sort();
    let mut lines = lines;
    lines.sort();
    assert_eq!(lines, expected);
}

#[test]
fn a_name_is_suggested_only_if_it_is_similar() {
    let known = ["callers", "peers", "drain_grace"];
    assert_eq!(closest_name("caller", known), Some("callers"));
    assert_eq!(closest_name("grace_of_drain", known), None);
}

#[test]
fn every_kind_of_key_is_decoded_as_encoded() {
    let job = JobId::new("saiss~bennani~a/b:c");
    let keys = [
        Key::ConfigHead,
        Key::Delta(Revision(69_000)),
        Key::Member(DaemonId::new("saiss-1.17")),
        Key::Leader(DomainName::new("saiss")),
        Key::Job(job.clone()),
        Key::DoneJob(job),
        Key::Intent(RequestId::new("bennani~a/b")),
    ];
    for key in keys {
        assert_eq!(decode_key(&encode_key(&key)), Ok(key));
    }
    for text in ["", "config", "job/", "job/lost/x", "config/delta/x", "x/y"] {
        assert!(decode_key(text).is_err(), "{text}");
    }
}

#[test]
fn keys_of_revisions_sort_by_number() {
    let text = |revision| encode_key(&Key::Delta(Revision(revision)));
    assert!(text(9) < text(10) && text(99) < text(u64::MAX));
}

#[test]
fn frames_are_decoded_as_encoded() {
    let origin = Origin {
        daemon: DaemonId::new("a"),
        call: CallId(1),
    };
    let frame = PeerFrame::new(DaemonId::new("b"), PeerMessage::Forget(origin));
    let read: PeerFrame = decode(&encode(&frame).unwrap()).unwrap();
    assert!(read.has_current_version());
    assert_eq!(read, frame);
    let command = WorkerFrame {
        claim: Claim {
            term: Term(3),
            epoch: Epoch(4),
        },
        command: WorkerCommand::Stop(TaskId::new("r 1 0 bennani~x")),
    };
    assert_eq!(decode(&encode(&command).unwrap()), Ok(command));
}

#[test]
fn invalid_frames_are_rejected() {
    let frame = PeerFrame::new(
        DaemonId::new("b"),
        PeerMessage::Notes {
            first: Revision(1),
            notes: Vec::new(),
        },
    );
    let bytes = encode(&frame).unwrap();
    for end in 0..bytes.len() {
        assert!(decode::<PeerFrame>(&bytes[..end]).is_err(), "cut at {end}");
    }
    arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let _ = decode::<PeerFrame>(&bytes);
        let _ = decode::<WorkerFrame>(&bytes);
        Ok(())
    })
    .seed(0x5eed_0000_0040);
}

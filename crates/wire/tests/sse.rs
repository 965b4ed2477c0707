//! Encoding and decoding of a call's server-sent events.

use basilramp_wire::api::{Event, FinalEvent, TokenEvent, Usage};
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::sse::{Decoder, Malformed, encode};

fn events() -> Vec<Event> {
    let token = |text: &str| {
        Event::Token(TokenEvent {
            text: text.to_owned(),
        })
    };
    vec![
        token("Start coarse,\n\ndata: and \"slow\"\r\n"),
        token(""),
        token("ü €"),
        Event::Final(FinalEvent {
            program: "p00000000000000aa".to_owned(),
            position: 3,
            output: "a\n\nb".to_owned(),
            usage: Usage::default(),
            hash: "ab".to_owned(),
            provisional: true,
            recorded: false,
        }),
        Event::Error(Error::new(Kind::InDoubt, "sent, no answer").retry_after(7)),
    ]
}

fn decode_all(decoder: &mut Decoder) -> Vec<Event> {
    std::iter::from_fn(|| decoder.next_event().unwrap()).collect()
}

#[test]
fn events_round_trip_for_every_chunk_size() {
    let text: String = events().iter().map(encode).collect();
    for size in 1..=text.len() {
        let mut decoder = Decoder::default();
        let mut decoded = Vec::new();
        for part in text.as_bytes().chunks(size) {
            decoder.push(part);
            decoded.extend(decode_all(&mut decoder));
        }
        assert_eq!(decoded, events(), "chunks of {size} bytes");
    }
}

#[test]
fn comments_are_skipped() {
    let mut decoder = Decoder::default();
    decoder.push(b": still here\n\nevent: token\ndata: {\"text\": \"x\"}\n\n: and here\n\n");
    assert_eq!(decode_all(&mut decoder).len(), 1);
}

#[test]
fn unknown_or_invalid_events_are_rejected() {
    for text in [
        "event: progress\ndata: {}\n\n",
        "data: {\"text\": \"x\"}\n\n",
        "event: token\ndata: {\"text\": 7}\n\n",
        "event: final\ndata: \n\n",
    ] {
        let mut decoder = Decoder::default();
        decoder.push(text.as_bytes());
        assert_eq!(decoder.next_event(), Err(Malformed), "{text}");
    }
    let mut decoder = Decoder::default();
    decoder.push(b"event: token\ndata: {\"text\": \"\xff\"}\n\n");
    assert_eq!(decoder.next_event(), Err(Malformed));
}

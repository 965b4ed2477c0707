//! Decoding of event streams with arbitrary chunk boundaries.

use basilramp_core::dispatch::sse::{Decoder, Event};
use proptest::prelude::*;

fn decode(pieces: &[&[u8]]) -> (Vec<Event>, bool) {
    let mut decoder = Decoder::default();
    let mut events = Vec::new();
    for piece in pieces {
        decoder.push(piece);
        while let Some(event) = decoder.next_event() {
            events.push(event);
        }
    }
    (events, decoder.has_partial_event())
}

#[test]
fn event_has_id_and_joined_data_lines() {
    let (events, has_partial_event) =
        decode(&[b"weight-versions: 3\nid: 7\ndata: a\ndata:b\n\nid: x\n\n"]);
    assert!(!has_partial_event);
    assert_eq!(events[0].id, Some(7));
    assert_eq!(events[0].data.as_deref(), Some(&b"a\nb"[..]));
    assert_eq!((events[1].id, &events[1].data), (None, &None));
}

/// The head of a response is no event, in whatever pieces it arrives.
#[test]
fn the_head_of_a_response_ends_the_events() {
    let text = b"id: 1\ndata: HTTP/1.1\n\nHTTP/1.1 500 Oops\r\n\r\nid: 2\ndata: b\n\n";
    for split in 0..text.len() {
        let mut decoder = Decoder::default();
        let mut events = Vec::new();
        for piece in [&text[..split], &text[split..]] {
            decoder.push(piece);
            events.extend(std::iter::from_fn(|| decoder.next_event()));
        }
        assert_eq!(events.len(), 1, "{split}");
        assert_eq!(events[0].data.as_deref(), Some(&b"HTTP/1.1"[..]));
        assert!(decoder.is_malformed(), "{split}");
    }
}

#[test]
fn partial_event_is_not_returned() {
    let (events, has_partial_event) = decode(&[b"id: 1\ndata: a\n\nid: 2\ndata: b\n"]);
    assert_eq!(events.len(), 1);
    assert!(has_partial_event);
}

proptest! {
    #[test]
    fn chunk_boundaries_do_not_change_events(
        lines in prop::collection::vec(("[a-z0-9 ]{0,12}", any::<bool>()), 0..20),
        cuts in prop::collection::vec(0..400_usize, 0..12),
    ) {
        let mut text = String::new();
        for (index, (data, has_return)) in lines.iter().enumerate() {
            let end = if *has_return { "\r\n" } else { "\n" };
            text.push_str(&format!("id: {index}{end}data: {data}{end}{end}"));
        }
        let bytes = text.as_bytes();
        let mut cuts: Vec<_> = cuts.into_iter().map(|cut| cut.min(bytes.len())).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let pieces: Vec<_> = cuts.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect();
        let (events, has_partial_event) = decode(&pieces);
        prop_assert!(!has_partial_event);
        let whole: Vec<u8> = events.iter().flat_map(|event| event.bytes.clone()).collect();
        prop_assert_eq!(whole, bytes);
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        let expected: Vec<_> = (0..lines.len() as u64).map(Some).collect();
        prop_assert_eq!(ids, expected);
    }

    #[test]
    fn decoded_events_reproduce_the_input_bytes(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..30), 0..10)) {
        let slices: Vec<_> = pieces.iter().map(Vec::as_slice).collect();
        let (events, _) = decode(&slices);
        let whole: Vec<u8> = events.iter().flat_map(|event| event.bytes.clone()).collect();
        prop_assert!(pieces.concat().starts_with(&whole));
    }
}

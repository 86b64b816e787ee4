//! The bytes of one response on a caller's connection, for every order of writes.

use std::io::Read as _;
use std::net;

use async_std::task;
use proptest::collection;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use samphiremoor_base::quantity;
use samphiremoor_gateway::response;
use samphiremoor_httpio::message;

const HEAD_LIMIT: quantity::ByteCount = quantity::ByteCount::new(4 * 1024);

/// A write that is attempted on a sink.
#[derive(Clone, Debug)]
enum WriteStep {
    /// An encoded response that is not a replica's.
    Own,
    /// A replica's response with this body.
    Buffered(String),
    /// Events of a replica's stream, and whether they are its last.
    Events(String, bool),
}

/// A connected pair of sockets: the sink's and the caller's.
fn connect() -> (net::TcpStream, net::TcpStream) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener has an address");
    let caller = net::TcpStream::connect(address).expect("the listener accepts");
    let (accepted, _) = listener.accept().expect("the caller connects");
    (accepted, caller)
}

fn head(status: u16) -> message::ResponseHead {
    let encoded = format!("HTTP/1.1 {status} X\r\nX-Status: {status}\r\n\r\n");
    let parsed = message::parse_response(encoded.as_bytes(), HEAD_LIMIT);
    parsed.expect("the head is valid").expect("the head is complete").0
}

async fn attempt(
    sink: &mut response::ResponseSink,
    step: &WriteStep,
) -> Result<(), response::WriteError> {
    match step {
        WriteStep::Own => {
            sink.write_whole(b"HTTP/1.1 502 X\r\nX-Status: 502\r\nContent-Length: 0\r\n\r\n").await
        }
        WriteStep::Buffered(body) => sink.write_buffered(&head(500), body.as_bytes()).await,
        WriteStep::Events(events, is_last) => {
            sink.write_events(&head(200), events.as_bytes(), *is_last).await
        }
    }
}

/// Attempts all writes. Returns the caller's bytes, the state of the response, and which writes the
/// sink accepted.
fn transcribe(steps: &[WriteStep]) -> (Vec<u8>, response::ResponseState, Vec<bool>) {
    let (accepted, mut caller) = connect();
    let (state, results) = task::block_on(async {
        let mut sink = response::ResponseSink::new(accepted.into(), "POST", None, false);
        let mut results = Vec::new();
        for step in steps {
            results.push(attempt(&mut sink, step).await.is_ok());
        }
        (sink.state(), results)
    });
    let mut bytes = Vec::new();
    caller.read_to_end(&mut bytes).expect("the connection ends");
    (bytes, state, results)
}

/// Parses one response. Returns its status, its body, whether it is complete, and the bytes after
/// it.
fn parse(bytes: &[u8]) -> (u16, Vec<u8>, bool, Vec<u8>) {
    let parsed = message::parse_response(bytes, HEAD_LIMIT).expect("the head is valid");
    let (head, head_length) = parsed.expect("the head is complete");
    let rest = &bytes[head_length..];
    match message::response_framing(&head, "POST").expect("the framing is valid") {
        message::BodyFraming::Length(length) => {
            let (body, rest) = rest.split_at(length as usize);
            (head.status, body.to_vec(), true, rest.to_vec())
        }
        message::BodyFraming::Chunked => {
            let mut decoder = message::ChunkDecoder::default();
            let mut body = Vec::new();
            let consumed = decoder.decode(rest, &mut body).expect("the chunks are valid");
            (head.status, body, decoder.is_done(), rest[consumed..].to_vec())
        }
        message::BodyFraming::UntilClose => panic!("the sink declares the framing"),
    }
}

fn steps() -> impl Strategy<Value = Vec<WriteStep>> {
    let event = "id: [1-9]\ndata: [a-z]{0,8}\n\n";
    let step = prop_oneof![
        1 => proptest::strategy::Just(WriteStep::Own),
        2 => "[a-z]{0,8}".prop_map(WriteStep::Buffered),
        5 => (event, proptest::bool::weighted(0.2))
            .prop_map(|(events, is_last)| WriteStep::Events(events, is_last)),
        1 => proptest::strategy::Just(WriteStep::Events(String::new(), false)),
        1 => proptest::strategy::Just(WriteStep::Events(String::new(), true)),
    ];
    collection::vec(step, 0..6)
}

proptest::proptest! {
    #![proptest_config(samphiremoor_testkit::config(128))]

    // Whatever is attempted, the caller gets at most one response. A response that has begun goes
    // on with its own events only, and nothing follows a complete one.
    #[test]
    fn caller_gets_one_response_for_every_order_of_writes(steps in steps()) {
        let (bytes, state, results) = transcribe(&steps);
        if state == response::ResponseState::Unstarted {
            proptest::prop_assert!(bytes.is_empty());
            return Ok(());
        }
        let (status, body, is_complete, rest) = parse(&bytes);
        proptest::prop_assert!(rest.is_empty(), "bytes after the response: {:?}", rest);
        proptest::prop_assert_eq!(is_complete, state == response::ResponseState::Complete);
        let accepted = steps.iter().zip(&results).filter(|(_, is_ok)| **is_ok);
        let written: Vec<&WriteStep> = accepted
            .map(|(step, _)| step)
            .filter(|step| !matches!(step, WriteStep::Events(events, false) if events.is_empty()))
            .collect();
        let (expected_status, expected_body) = match written.as_slice() {
            [WriteStep::Own] => (502, String::new()),
            [WriteStep::Buffered(body)] => (500, body.clone()),
            events => {
                let texts = events.iter().map(|step| match step {
                    WriteStep::Events(events, _) => events.as_str(),
                    other => panic!("{other:?} was accepted in a stream"),
                });
                (200, texts.collect())
            }
        };
        proptest::prop_assert_eq!((status, body), (expected_status, expected_body.into_bytes()));
    }
}

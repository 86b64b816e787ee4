//! Reading of entry daemons' responses: complete and incomplete streams, refusals and error events.

use async_std::task;
use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_load::live::response;

/// Events of a stream with the two tokens `a ` and `b `.
const TOKEN_EVENTS: &str = "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\n\
                            id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"b \"}}]}\n\n";
const END_MARKER: &str = "data: [DONE]\n\n";
const SHED_PROBLEM: &str = "{\"title\":\"shed\",\"retry_after_ms\":400}";

fn read(status: StatusCode, body: &str) -> response::CallResponse {
    let mut response = Response::new(status);
    response.set_body(body.to_owned());
    task::block_on(response::read_stream(response))
}

fn check_complete(body: &str, expected_text: &str) {
    match read(StatusCode::Ok, body) {
        response::CallResponse::Stream { tokens, text, .. } => {
            assert_eq!((tokens, text.as_str()), (2, expected_text));
        }
        response => panic!("{response:?}"),
    }
}

fn check_problem(status: StatusCode, body: &str) {
    let expected = response::ResponseProblem {
        reason: Some(reason::RefusalReason::Shed),
        retry_after: Some(time::Millis::new(400)),
    };
    assert_eq!(read(status, body), response::CallResponse::Problem(expected));
}

samphiremoor_base::cases! {
    stream_with_end_marker_is_complete =>
        check_complete(&format!("{TOKEN_EVENTS}{END_MARKER}"), "a b ");
    stream_without_end_marker_is_incomplete =>
        assert_eq!(read(StatusCode::Ok, TOKEN_EVENTS), response::CallResponse::Incomplete);
    refusal_is_read_as_problem => check_problem(StatusCode::ServiceUnavailable, SHED_PROBLEM);
    error_event_is_read_as_problem => check_problem(
        StatusCode::Ok,
        &format!("{TOKEN_EVENTS}event: error\ndata: {SHED_PROBLEM}\n\n"),
    );
}

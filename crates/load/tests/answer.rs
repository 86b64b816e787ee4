//! How answers of entry daemons are read: only a marked end is an end.

use async_std::task;
use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_load::live::answer;

const TOKENS: &str = "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\n\
                      id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"b \"}}]}\n\n";
const DONE: &str = "data: [DONE]\n\n";
const SHED: &str = "{\"title\":\"shed\",\"retry_after_ms\":400}";

fn read(status: StatusCode, body: &str) -> answer::CallAnswer {
    let mut response = Response::new(status);
    response.set_body(body.to_owned());
    task::block_on(answer::read_stream(response))
}

fn check_whole(body: &str, expected: &str) {
    match read(StatusCode::Ok, body) {
        answer::CallAnswer::Stream { tokens, text, .. } => {
            assert_eq!((tokens, text.as_str()), (2, expected));
        }
        other => panic!("{other:?}"),
    }
}

fn check_problem(status: StatusCode, body: &str) {
    let expected = answer::AnswerProblem {
        reason: Some(reason::RefusalReason::Shed),
        retry_after: Some(time::Millis::new(400)),
    };
    assert_eq!(read(status, body), answer::CallAnswer::Problem(expected));
}

samphiremoor_base::cases! {
    marked_end_is_whole => check_whole(&format!("{TOKENS}{DONE}"), "a b ");
    closed_stream_is_broken =>
        assert_eq!(read(StatusCode::Ok, TOKENS), answer::CallAnswer::Broken);
    refusal_is_a_problem => check_problem(StatusCode::ServiceUnavailable, SHED);
    error_event_is_a_problem =>
        check_problem(StatusCode::Ok, &format!("{TOKENS}event: error\ndata: {SHED}\n\n"));
}

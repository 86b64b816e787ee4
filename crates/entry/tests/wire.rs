//! Wire types: parsing never panics, and no field of the caller's body is lost.

use std::sync::Arc;

use proptest::prelude;
use proptest::prelude::Strategy as _;
use proptest::strategy;
use proptest::test_runner;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_entry::peer;
use samphiremoor_entry::serve::service;
use samphiremoor_entry::wire::chunk;
use samphiremoor_entry::wire::request;
use samphiremoor_records::set;
use serde_json::Map;
use serde_json::Value;

const CALLS: [request::ModelCall; 2] = [request::ModelCall::Chat, request::ModelCall::Completion];

/// Returns a strategy for arbitrary JSON whose keys include the field names of the calls.
fn arbitrary_json() -> impl strategy::Strategy<Value = Value> {
    let leaf = proptest::prop_oneof![
        strategy::Just(Value::Null),
        proptest::bool::ANY.prop_map(Value::Bool),
        proptest::num::i64::ANY.prop_map(Value::from),
        "[a-z@/é\"\\\\]{0,8}".prop_map(Value::String),
    ];
    leaf.prop_recursive(4, 32, 6, |inner| {
        let items = proptest::collection::vec(inner.clone(), 0..6);
        let fields = proptest::collection::btree_map(arbitrary_key(), inner, 0..6);
        proptest::prop_oneof![
            items.prop_map(Value::Array),
            fields.prop_map(|fields| Value::Object(fields.into_iter().collect())),
        ]
    })
}

fn arbitrary_key() -> impl strategy::Strategy<Value = String> {
    let api_fields = [
        "model",
        "messages",
        "prompt",
        "stream",
        "n",
        "role",
        "content",
        "id",
        "choices",
        "delta",
        "text",
        "finish_reason",
        "usage",
        "prompt_tokens",
        "stream_options",
        "include_usage",
    ];
    proptest::prop_oneof![
        4 => proptest::sample::select(api_fields.to_vec()).prop_map(str::to_owned),
        1 => "[a-z]{0,4}",
    ]
}

fn target_model() -> set::LoadedModel {
    let owned = |text: &str| text.to_owned();
    set::LoadedModel {
        model: owned("drafter").try_into().expect("a valid identifier"),
        version: owned("3").try_into().expect("a valid identifier"),
        adapter: None,
    }
}

fn config() -> test_runner::Config {
    samphiremoor_testkit::config(256)
}

proptest::proptest! {
    #![proptest_config(config())]

    #[test]
    fn parsing_arbitrary_bytes_never_panics(bytes in proptest::collection::vec(0..=255_u8, 0..200)) {
        for call in CALLS {
            let _ = request::CallBody::parse(call, &bytes);
        }
        let _ = chunk::UpstreamChunk::parse(&bytes);
    }

    #[test]
    fn parsing_arbitrary_json_never_panics(value in arbitrary_json()) {
        let bytes = value.to_string().into_bytes();
        for call in CALLS {
            if let Ok(body) = request::CallBody::parse(call, &bytes) {
                body.prompt_text();
                body.to_upstream(&target_model(), &request::ResumePoint::default());
            }
        }
        if let Ok(chunk) = chunk::UpstreamChunk::parse(&bytes) {
            chunk.text();
            chunk.finish_reason();
        }
    }

    #[test]
    fn upstream_body_keeps_all_caller_fields(
        extra in proptest::collection::btree_map("x_[a-z]{1,4}", arbitrary_json(), 0..4),
        offset in 0..9_u64,
    ) {
        let mut caller_fields: Map<String, Value> = extra.into_iter().collect();
        caller_fields.insert("model".to_owned(), Value::from("assistant@3"));
        caller_fields.insert("prompt".to_owned(), Value::from("hello"));
        // A caller can't set the fields that the daemon sets.
        caller_fields.insert("continue_from".to_owned(), Value::from(77));
        let bytes = serde_json::to_vec(&caller_fields).expect("JSON");
        let body = request::CallBody::parse(request::ModelCall::Completion, &bytes);
        let body = body.expect("the body is valid");
        let resume = request::ResumePoint {
            offset: quantity::TokenCount::new(offset),
            text: "so far".to_owned(),
        };
        let upstream_body: Map<String, Value> =
            serde_json::from_slice(&body.to_upstream(&target_model(), &resume)).expect("JSON");
        for (key, value) in caller_fields.iter().filter(|(key, _)| key.starts_with("x_")) {
            prelude::prop_assert_eq!(upstream_body.get(key), Some(value));
        }
        prelude::prop_assert_eq!(&upstream_body["model"], "drafter");
        prelude::prop_assert_eq!(&upstream_body["prompt"], "hello");
        let continue_from = upstream_body.get("continue_from").and_then(Value::as_u64);
        prelude::prop_assert_eq!(continue_from, (offset > 0).then_some(offset));
    }

    #[test]
    fn parsing_arbitrary_path_never_panics(rest in "\\PC{0,40}", query in proptest::option::of("\\PC{0,9}")) {
        let parsed = service::ServicePath::parse(&rest, query.as_deref());
        if let Some(parsed) = parsed {
            prelude::prop_assert!(parsed.path.starts_with('/'));
        }
    }

    #[test]
    fn decoding_arbitrary_peer_message_never_panics(bytes in proptest::collection::vec(0..=255_u8, 0..200)) {
        let _ = postcard::from_bytes::<peer::EntryRequest>(&bytes);
        let _ = postcard::from_bytes::<peer::EntryResponse>(&bytes);
    }

    #[test]
    fn handover_request_round_trips(
        body in "\\PC{0,40}",
        tokens in proptest::collection::vec("\\PC{0,9}", 0..9),
    ) {
        let handover = peer::HandOverRequest {
            id: "entry-1:1".parse().expect("a valid identifier"),
            workspace: "clinic".parse().expect("a valid identifier"),
            call: request::ModelCall::Chat,
            body,
            tokens: tokens.into_iter().map(Arc::from).collect(),
            remaining: time::Millis::new(9),
            created_s: 7,
        };
        let message = peer::EntryRequest::HandOver(Box::new(handover));
        let bytes = postcard::to_stdvec(&message).expect("the message has a wire form");
        prelude::prop_assert_eq!(postcard::from_bytes::<peer::EntryRequest>(&bytes), Ok(message));
    }
}

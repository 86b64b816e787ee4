//! Generates prompts and the responses that stand-in engines give to them.

use samphiremoor_standin_engine::tokens;
use samphiremoor_standin_engine::wire;

use crate::plan;

/// Returns the messages of a session's call: the template, the earlier turns with their responses,
/// and the new turn.
pub fn messages(session: &plan::SessionPlan, turn: usize) -> Vec<wire::ChatMessage> {
    let template = format!("t{}{}w", session.service, session.template);
    let mut messages = vec![message("system", words(&template, session.template_tokens))];
    for number in 0..=turn {
        let turn_stem = format!("s{}u{number}w", session.number);
        messages.push(message("user", words(&turn_stem, session.turns[number].tokens)));
        if number < turn {
            let response = expected_response(&messages, session.turns[number].answer_tokens);
            messages.push(message("assistant", response));
        }
    }
    messages
}

/// Returns the prompt text that an engine builds from the messages.
pub fn prompt_text(messages: &[wire::ChatMessage]) -> String {
    messages.iter().map(|message| tokens::chat_line(&message.role, &message.content)).collect()
}

/// Returns the response of `count` tokens that a stand-in engine generates for the messages.
pub fn expected_response(messages: &[wire::ChatMessage], count: u64) -> String {
    tokens::PromptHash::of(&prompt_text(messages)).text(count)
}

fn message(role: &str, content: String) -> wire::ChatMessage {
    wire::ChatMessage { role: role.to_owned(), content }
}

fn words(stem: &str, count: u64) -> String {
    let words: Vec<String> = (0..count).map(|number| format!("{stem}{number}")).collect();
    words.join(" ")
}

//! Texts of prompts and the answers that are expected to them.

use samphiremoor_standin_engine::tokens;
use samphiremoor_standin_engine::wire;

use crate::plan;

/// Messages of a session's call: shared start, earlier calls with their answers, the new call.
pub fn messages(session: &plan::SessionPlan, turn: usize) -> Vec<wire::ChatMessage> {
    let start = format!("t{}{}w", session.service, session.template);
    let mut messages = vec![message("system", words(&start, session.template_tokens))];
    for number in 0..=turn {
        let own = format!("s{}u{number}w", session.number);
        messages.push(message("user", words(&own, session.turns[number].tokens)));
        if number < turn {
            let answer = answer(&messages, session.turns[number].answer_tokens);
            messages.push(message("assistant", answer));
        }
    }
    messages
}

/// Whole prompt of the messages, as engines see it.
pub fn prompt_text(messages: &[wire::ChatMessage]) -> String {
    messages.iter().map(|message| tokens::chat_line(&message.role, &message.content)).collect()
}

/// The answer that engines give to the messages.
pub fn answer(messages: &[wire::ChatMessage], count: u64) -> String {
    tokens::PromptHash::of(&prompt_text(messages)).text(count)
}

fn message(role: &str, content: String) -> wire::ChatMessage {
    wire::ChatMessage { role: role.to_owned(), content }
}

fn words(stem: &str, count: u64) -> String {
    let words: Vec<String> = (0..count).map(|number| format!("{stem}{number}")).collect();
    words.join(" ")
}

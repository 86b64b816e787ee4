//! Choice of the replica that serves a request.
//!
//! Pure decisions: the entry daemon hands in the view, the request, the time and a random number,
//! and reports what became of each dispatch. [`picker`] is the border, [`baseline`] holds simple
//! policies behind the same trait, [`prefix`] cuts prompts into blocks whose hashes name cached
//! prefixes.

pub mod baseline;
pub mod picker;
pub mod prefix;

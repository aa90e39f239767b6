//! What is known of the servers behind an instance: figures with their count, age and origin ([`fact`]), the book that keeps
//! them and says what to believe ([`book`]), who else is there to ask ([`members`]), and the form in which a book outlives its
//! process ([`log`]).
//!
//! Nothing here reads a clock, a file or chance. Moments are seconds of the reader's own monotonic clock: between instances
//! only ages pass, so that clocks that disagree by an hour disagree about nothing here.

pub mod book;
pub mod fact;
pub mod log;
pub mod members;

pub use book::{Belief, Book};
pub use fact::{Figure, Origin, Standing, Subject, Told, Unbelievable};
pub use members::{Members, News, State};

//! What is known of the servers behind an instance: figures with their count, age and origin ([`fact`]), the book that keeps
//! them and says what to believe ([`book`]), the way from the decision module and back ([`lesson`]), who else is there to ask
//! ([`members`]), whom to ask when, what to tell and what to take ([`learner`]), and the form and the file in which a book
//! outlives its process ([`log`], [`store`]).
//!
//! Nothing here reads a clock, a file or chance. Moments are seconds of the reader's own monotonic clock: between instances
//! only ages pass, so that clocks that disagree by an hour disagree about nothing here.

pub mod book;
pub mod fact;
pub mod learner;
pub mod lesson;
pub mod log;
pub mod members;
pub mod store;

pub use book::{Belief, Book};
pub use fact::{Figure, Origin, Standing, Subject, Told, Unbelievable};
pub use learner::{Learner, Message};
pub use lesson::Scope;
pub use members::{Members, News, State};
pub use store::{Files, Store};

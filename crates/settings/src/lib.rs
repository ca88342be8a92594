//! INI settings of the programs, fully checked before a program starts.
//!
//! A program's settings are one [`table!`]: each key is declared there once, with
//! its section, type, default and documentation. Parsing a file reports all errors
//! at once, each with its line and a description of a valid value.
//!
//! ```
//! let error = settings::node::Settings::parse("[node]\nname = a b\n", "node.ini").unwrap_err();
//! assert!(error.to_string().contains("node.ini:2: [node] name: \"a b\" is not a name"));
//! ```

pub mod node;
pub mod operator;

mod document;
mod error;
mod table;
mod value;

pub use document::Document;
pub use error::{Diagnostic, Error};
pub use table::{Key, find_default};
pub use value::{ParseError, Token, Value};

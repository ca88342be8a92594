//! INI settings of the programs, checked whole before start.

pub mod node;

pub mod answer;
pub mod keys;
pub mod proof;

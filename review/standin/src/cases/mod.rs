pub mod keys;
pub mod proof;
pub mod uploads;

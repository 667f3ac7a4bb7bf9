//! A macro that defines tests from a list of cases: each case has a name and one call.
//!
//! ```
//! fn doubles(value: u32, expected: u32) {
//!     assert_eq!(value * 2, expected);
//! }
//! sandshelf_cases::cases! {
//!     zero_stays_zero => doubles(0, 0);
//!     two_becomes_four => doubles(2, 4);
//! }
//! ```

/// Defines one test function per `name => call;`; attributes before the name are kept.
#[macro_export]
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident => $call:expr;)+) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                $call
            }
        )+
    };
}

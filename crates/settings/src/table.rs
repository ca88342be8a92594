//! The table that declares a program's settings, each key in one place.

/// One key of a settings file, for checks and documentation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key {
    /// Section that the key belongs to.
    pub section: &'static str,
    /// Name of the key.
    pub name: &'static str,
    /// Description of a valid value, with an example.
    pub expected: &'static str,
    /// Value if the file does not set the key; `None` if it must be set.
    pub default: Option<&'static str>,
    /// Documentation of the key.
    pub doc: &'static str,
    /// Whether the value must be kept out of messages.
    pub secret: bool,
}

impl Key {
    /// Returns whether this is the key `name` of `section`.
    #[must_use]
    pub fn matches(&self, section: &str, name: &str) -> bool {
        self.section == section && self.name == name
    }
}

/// Returns the default from the optional `= "default"` part of a table row, or `None` without it.
#[must_use]
pub const fn find_default(parts: &[&'static str]) -> Option<&'static str> {
    match parts {
        [default] => Some(default),
        _ => None,
    }
}

/// Defines a settings struct, its table of keys and the function that parses it.
///
/// Each row is `/// doc`, the section in brackets, the field (which is also the
/// name of the key), its type, and `= "default"` unless the key must be set.
/// `, secret` at the end keeps the value out of messages.
#[macro_export]
macro_rules! table {
    (
        $(#[doc = $about:literal])+
        pub struct $table:ident {
            $(
                $(#[doc = $doc:literal])+
                [$section:ident] $field:ident: $type:ty $(= $default:literal)? $(, $secret:ident)?;
            )+
        }
    ) => {
        $(#[doc = $about])+
        #[derive(Debug, Clone, PartialEq, Eq)]
        pub struct $table {
            $(
                $(#[doc = $doc])+
                pub $field: $type,
            )+
        }

        impl $table {
            /// All keys, in the order in which they are documented.
            pub const KEYS: &[$crate::Key] = &[
                $($crate::Key {
                    section: stringify!($section),
                    name: stringify!($field),
                    expected: <$type as $crate::Value>::EXPECTED,
                    default: $crate::find_default(&[$($default)?]),
                    doc: concat!($($doc),+),
                    secret: !matches!(stringify!($($secret)?).as_bytes(), b""),
                },)+
            ];

            /// Parses all keys, even after an error, so that one pass reports every error.
            fn read(document: &mut $crate::Document) -> Option<Self> {
                let mut keys = Self::KEYS.iter();
                $(let $field = keys.next().and_then(|key| document.read::<$type>(key));)+
                Some(Self { $($field: $field?,)+ })
            }
        }
    };
}

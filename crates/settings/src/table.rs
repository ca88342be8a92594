//! The table of a program's settings: one place a key.

/// One key of a settings file, as the docs and the checks see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key {
    /// Section that it stands in.
    pub section: &'static str,
    /// Its name.
    pub name: &'static str,
    /// What a right value looks like.
    pub expected: &'static str,
    /// Value when the file has none; without one the key must be set.
    pub default: Option<&'static str>,
    /// What it is for.
    pub doc: &'static str,
    /// Whether its value must not be shown.
    pub secret: bool,
}

impl Key {
    /// Tells whether this is the key `name` of `section`.
    #[must_use]
    pub fn matches(&self, section: &str, name: &str) -> bool {
        self.section == section && self.name == name
    }
}

/// Takes the default out of a table's `= ...` part.
#[must_use]
pub const fn find_default(parts: &[&'static str]) -> Option<&'static str> {
    match parts {
        [default] => Some(default),
        _ => None,
    }
}

/// Defines a settings struct, its table of keys and its reader.
///
/// Each line is `/// doc`, the section in brackets, the field (which names the
/// key), its type, and `= "default"` unless the key must be set. The mark
/// `secret` keeps a value out of messages.
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
            /// Every key, in the order of the docs.
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

            /// Reads all keys, so that every fault is found in one pass.
            fn read(document: &mut $crate::Document) -> Option<Self> {
                let mut keys = Self::KEYS.iter();
                $(let $field = keys.next().and_then(|key| document.read::<$type>(key));)+
                Some(Self { $($field: $field?,)+ })
            }
        }
    };
}

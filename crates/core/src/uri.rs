//! Names as parts of a request target.

use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::PercentEncode;
use percent_encoding::utf8_percent_encode;

/// All bytes but the unreserved characters of RFC 3986.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Returns a name percent-encoded, so that it is one segment of a path or one value of a
/// query, whatever its characters.
pub fn encode_component(name: &str) -> PercentEncode<'_> {
    utf8_percent_encode(name, RESERVED)
}

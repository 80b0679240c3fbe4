"""What decoders raise for bytes that they can't decode."""

import msgspec

# The last is for deep nesting, also in a field that the type doesn't name. Whoever
# decodes what another process has sent or stored catches all of these.
UNDECODABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)

// The interface between daemons. Regenerate the Java code with scripts/regenerate.

namespace java org.redwingramp.wire.generated

// The current version of this interface, see Hello.version.
const i32 PROTOCOL_VERSION = 1

// Opens a connection. Both nonces go into the key of the connection's MACs, so that no
// frame of one connection is valid on another.
struct Hello {
  1: required i32 version
  2: required binary nonce
}

// One message or answer.
struct Envelope {
  // Empty while the sender belongs to no cluster yet.
  1: required string clusterId
  // The sender's instance name.
  2: required string sender
  // The random number of the sender's data folder or run.
  3: required i64 incarnation
  // Rises by 1 with each message on a connection; an answer repeats that of the call.
  4: required i64 sequence
  // What the payload is, see org.redwingramp.wire.Kind.
  5: required i32 kind
  // 0 in messages and in answers of calls that ran; see AnswerStatus.
  6: required i32 status
  // How long the caller waits for the answer, in milliseconds; 0 in answers.
  7: required i64 timeoutMillis
  8: required binary payload
  // HMAC-SHA256 over all other fields with the connection's key.
  9: required binary mac
}

service PeerService {
  // Must be the first message; the answer carries the server's nonce.
  Hello hello(1: Hello hello)

  // Delivers a message without an answer.
  oneway void deliver(1: Envelope envelope)

  // Delivers a message and waits for the answer.
  Envelope call(1: Envelope envelope)
}

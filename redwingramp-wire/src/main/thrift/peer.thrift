// The interface between daemons. Regenerate the Java code with scripts/regenerate.

namespace java org.redwingramp.wire.generated

// The current version of this interface; see Hello.version.
const i32 PROTOCOL_VERSION = 1

// Opens a connection. The key of the connection's MACs is derived from both nonces, so
// that a frame of one connection is not valid on another.
struct Hello {
  1: required i32 version
  2: required binary nonce
}

// A message or a reply.
struct Envelope {
  // Empty while the sender belongs to no cluster yet.
  1: required string clusterId
  // The sender's instance name.
  2: required string sender
  // A random number that identifies the sender's data folder or process run.
  3: required i64 incarnation
  // Increases by 1 with each message on a connection; a reply repeats that of its call.
  4: required i64 sequence
  // The type of the payload; see org.redwingramp.wire.Kind.
  5: required i32 kind
  // 0 in messages and in replies to calls that were executed; see AnswerStatus.
  6: required i32 status
  // How long the caller waits for the reply, in milliseconds; 0 in one-way messages and
  // replies.
  7: required i64 timeoutMillis
  8: required binary payload
  // The HMAC-SHA256 of the direction and all other fields with the connection's key.
  9: required binary mac
}

service PeerService {
  // Must be the first message; the reply carries the server's nonce.
  Hello hello(1: Hello hello)

  // Delivers a one-way message.
  oneway void deliver(1: Envelope envelope)

  // Delivers a message and waits for the reply.
  Envelope call(1: Envelope envelope)
}

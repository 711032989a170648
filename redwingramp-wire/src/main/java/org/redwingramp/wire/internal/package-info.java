/**
 * Connections, frames and authentication of the transport, and the CBOR codecs of
 * records.
 */
package org.redwingramp.wire.internal;

/**
 * Connections, frames and authentication of the transport.
 */
package org.redwingramp.wire.internal;

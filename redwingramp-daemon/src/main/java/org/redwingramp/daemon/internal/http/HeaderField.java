package org.redwingramp.daemon.internal.http;

/**
 * An HTTP header field. Immutable and thread safe.
 *
 * @param name the name
 * @param value the value
 */
public record HeaderField(String name, String value) {
}

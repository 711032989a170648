package org.redwingramp.daemon.internal.http;

/**
 * An HTTP header field. Immutable and thread safe.
 *
 * @param name the field name
 * @param value the field value
 */
public record HeaderField(String name, String value) {
}

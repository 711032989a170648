package org.redwingramp.wire;

/**
 * An HTTP header field. Immutable and thread safe.
 *
 * @param name the field's name
 * @param value the field's value
 */
public record Header(String name, String value) {
}

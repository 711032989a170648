package org.redwingramp.core.model;

/**
 * An entry instance as it registers itself. Immutable and thread safe.
 *
 * @param name the instance's name from its settings
 * @param address the address of its internal port as {@code ip:port}
 * @param failureDomain the failure domain that it runs in
 * @param bootId identifies one run of the process
 */
public record EntrySpec(String name, String address, String failureDomain, String bootId) {
}

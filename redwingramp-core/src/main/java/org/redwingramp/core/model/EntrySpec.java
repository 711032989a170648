package org.redwingramp.core.model;

/**
 * The registration of an entry instance. Immutable and thread safe.
 *
 * @param name the name of the instance, taken from its settings
 * @param address the address of its internal port as {@code ip:port}
 * @param failureDomain the failure domain that it runs in
 * @param bootId identifies one incarnation of the instance's process
 */
public record EntrySpec(String name, String address, String failureDomain, String bootId) {
}

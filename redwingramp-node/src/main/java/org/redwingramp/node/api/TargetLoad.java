package org.redwingramp.node.api;

/**
 * The load of a target as it tells. Immutable and thread safe.
 *
 * @param running the requests that run
 * @param waiting the requests that wait
 * @param slots the requests that it runs at once
 * @param pacePercent how long work takes there at the moment, 100 for the usual
 */
public record TargetLoad(int running, int waiting, int slots, int pacePercent) {
}

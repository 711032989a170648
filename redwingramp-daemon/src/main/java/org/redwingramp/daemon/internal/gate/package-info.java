/**
 * The gates of an entry instance. The gate of a target is the one entry instance that may
 * send requests to it; it assigns the target's slots, renews the grants of its shards and
 * records at-most-once requests in the ledger.
 */
package org.redwingramp.daemon.internal.gate;

/**
 * Implementation of the replicated log: leader election, log replication, membership
 * changes and snapshot transfer.
 */
package org.redwingramp.core.consensus.internal;

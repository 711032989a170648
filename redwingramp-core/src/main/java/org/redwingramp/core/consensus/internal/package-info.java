/**
 * Election, replication, membership and snapshot transfer of the replicated log.
 */
package org.redwingramp.core.consensus.internal;
